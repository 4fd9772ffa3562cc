/**
 * @file The binary frames that controllers exchange, encoded without a library. A frame consists of the magic number
 * `PR` (16 bits), version (8 bits), kind (8 bits), length of the payload (16 bits) and payload. There is one kind so
 * far, a controller's status: flags (8 bits), milliseconds since the state store last confirmed the controller's
 * replica (32 bits), fencing token (64 bits), length of the label (8 bits) and label. Controllers of several versions
 * exchange these frames during an upgrade, so their bytes must never change.
 */
import { MalformedFrameError } from './errors.js';

/** A controller's status as it is sent to the other controllers. */
export interface ControllerStatus {
  readonly label: string;
  readonly isLeader: boolean;
  /** Milliseconds since the state store last confirmed the controller's replica, or null if it never has. */
  readonly stateStoreContactMs: number | null;
  /** The token under which the controller acts as leader; 0 on a standby. */
  readonly fencingToken: bigint;
}

const MAGIC = 0x5052;
const VERSION = 1;
const KIND_STATUS = 1;
const HEADER_BYTES = 6;
/** Bytes of a status before its label. */
const STATUS_FIXED_BYTES = 14;
const MAX_LABEL_BYTES = 255;
const FLAG_LEADER = 1;
const CONTACT_NEVER = 0xffffffff;
/** Upper bound on the size of a frame in bytes, including the header. */
export const MAX_FRAME_BYTES = 512;

function encodeContact(contactMs: number | null): number {
  if (contactMs === null) return CONTACT_NEVER;
  return Math.min(Math.max(0, Math.round(contactMs)), CONTACT_NEVER - 1);
}

/** Encodes a status as a frame. */
export function encodeStatus(status: ControllerStatus): Buffer {
  const label = Buffer.from(status.label, 'utf8').subarray(0, MAX_LABEL_BYTES);
  const frame = Buffer.alloc(HEADER_BYTES + STATUS_FIXED_BYTES + label.length);
  frame.writeUInt16BE(MAGIC, 0);
  frame.writeUInt8(VERSION, 2);
  frame.writeUInt8(KIND_STATUS, 3);
  frame.writeUInt16BE(STATUS_FIXED_BYTES + label.length, 4);
  frame.writeUInt8(status.isLeader ? FLAG_LEADER : 0, 6);
  frame.writeUInt32BE(encodeContact(status.stateStoreContactMs), 7);
  frame.writeBigUInt64BE(BigInt.asUintN(64, status.fencingToken), 11);
  frame.writeUInt8(label.length, 19);
  label.copy(frame, HEADER_BYTES + STATUS_FIXED_BYTES);
  return frame;
}

function decodeStatus(payload: Buffer): ControllerStatus {
  if (payload.length < STATUS_FIXED_BYTES || payload.length < STATUS_FIXED_BYTES + payload.readUInt8(13))
    throw new MalformedFrameError('a status is too short');
  const contact = payload.readUInt32BE(1);
  return {
    isLeader: (payload.readUInt8(0) & FLAG_LEADER) !== 0,
    stateStoreContactMs: contact === CONTACT_NEVER ? null : contact,
    fencingToken: payload.readBigUInt64BE(5),
    label: payload.toString('utf8', STATUS_FIXED_BYTES, STATUS_FIXED_BYTES + payload.readUInt8(13)),
  };
}

/** Splits the bytes of one connection into frames. Frames of unknown kinds and versions are skipped. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * Appends received bytes and returns the statuses that they complete. Throws {@link MalformedFrameError} if they
   * are not valid frames.
   */
  push(data: Buffer): ControllerStatus[] {
    this.buffered = this.buffered.length === 0 ? data : Buffer.concat([this.buffered, data]);
    const statuses: ControllerStatus[] = [];
    while (this.buffered.length >= HEADER_BYTES) {
      if (this.buffered.readUInt16BE(0) !== MAGIC) throw new MalformedFrameError('not a frame');
      const frameBytes = HEADER_BYTES + this.buffered.readUInt16BE(4);
      if (frameBytes > MAX_FRAME_BYTES) throw new MalformedFrameError('too long');
      if (this.buffered.length < frameBytes) break;
      const isSupported =
        this.buffered.readUInt8(2) === VERSION && this.buffered.readUInt8(3) === KIND_STATUS;
      if (isSupported) statuses.push(decodeStatus(this.buffered.subarray(HEADER_BYTES, frameBytes)));
      this.buffered = this.buffered.subarray(frameBytes);
    }
    return statuses;
  }
}
