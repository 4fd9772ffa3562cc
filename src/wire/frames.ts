/**
 * What controllers tell one another, framed by hand. A frame: `PR`, version, kind, length of the rest (16 bits), rest.
 * One kind so far, a controller's status: flags, milliseconds since the state service last answered it with a current
 * copy (32 bits), the token it acts under (64 bits), its label.
 */
export interface ControllerStatus {
  readonly label: string;
  readonly isLeader: boolean;
  /** Null: never yet. */
  readonly stateStoreContactMs: number | null;
  readonly fencingToken: bigint;
}

const MAGIC = 0x5052;
const VERSION = 1;
const STATUS = 1;
const HEAD = 6;
const FIXED = 14;
const OWNER = 1;
const NEVER = 0xffffffff;
/** The most that a frame may take, head included. */
export const FRAME_LIMIT = 512;

/** Writes a status as a frame. */
export function encodeStatus(status: ControllerStatus): Buffer {
  const label = Buffer.from(status.label, 'utf8').subarray(0, 255);
  const b = Buffer.alloc(HEAD + FIXED + label.length);
  b.writeUInt16BE(MAGIC, 0);
  b.writeUInt8(VERSION, 2);
  b.writeUInt8(STATUS, 3);
  b.writeUInt16BE(FIXED + label.length, 4);
  b.writeUInt8(status.isLeader ? OWNER : 0, 6);
  b.writeUInt32BE(
    status.stateStoreContactMs === null
      ? NEVER
      : Math.min(Math.max(0, Math.round(status.stateStoreContactMs)), NEVER - 1),
    7,
  );
  b.writeBigUInt64BE(BigInt.asUintN(64, status.fencingToken), 11);
  b.writeUInt8(label.length, 19);
  label.copy(b, HEAD + FIXED);
  return b;
}

/** Takes a connection's bytes apart. Kinds and versions not known here are passed over; what is no frame throws. */
export class FrameReader {
  private raw: Buffer = Buffer.alloc(0);

  push(data: Buffer): ControllerStatus[] {
    this.raw = this.raw.length === 0 ? data : Buffer.concat([this.raw, data]);
    const out: ControllerStatus[] = [];
    while (this.raw.length >= HEAD) {
      if (this.raw.readUInt16BE(0) !== MAGIC) throw new Error('not a frame');
      const length = this.raw.readUInt16BE(4);
      if (HEAD + length > FRAME_LIMIT) throw new Error('a frame is too long');
      if (this.raw.length < HEAD + length) break;
      const known = this.raw.readUInt8(2) === VERSION && this.raw.readUInt8(3) === STATUS;
      if (known) out.push(readStatus(this.raw.subarray(HEAD, HEAD + length)));
      this.raw = this.raw.subarray(HEAD + length);
    }
    return out;
  }
}

function readStatus(b: Buffer): ControllerStatus {
  if (b.length < FIXED || b.length < FIXED + b.readUInt8(13)) throw new Error('a status is too short');
  const contact = b.readUInt32BE(1);
  return {
    isLeader: (b.readUInt8(0) & OWNER) !== 0,
    stateStoreContactMs: contact === NEVER ? null : contact,
    fencingToken: b.readBigUInt64BE(5),
    label: b.toString('utf8', FIXED, FIXED + b.readUInt8(13)),
  };
}
