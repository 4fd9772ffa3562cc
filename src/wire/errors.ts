/**
 * @file Errors of the decoders. Each states what kind of data was malformed, so that a caller can distinguish invalid
 * input from its own faults.
 */

/** A value in the state store that cannot be decoded as the kind of record that its key denotes. */
export class MalformedRecordError extends Error {
  override readonly name = 'MalformedRecordError';

  constructor(
    /** The kind of record, as in `Key.kind`. */
    readonly record: 'job' | 'leader' | 'page',
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(`malformed ${record} record: ${reason}`, options);
  }
}

/** Bytes from another controller that are not a frame, or a frame that is too long or whose payload is too short. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';

  constructor(readonly reason: string) {
    super(`malformed frame: ${reason}`);
  }
}

/** A message body from an external system that does not match the schema of its interface. */
export class MalformedMessageError extends Error {
  override readonly name = 'MalformedMessageError';

  constructor(
    /** The message, for example `watch response`. */
    readonly messageKind: string,
    readonly reason: string,
  ) {
    super(`malformed ${messageKind}: ${reason}`);
  }
}
