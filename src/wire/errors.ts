/**
 * @file Errors of the decoders. Each says which kind of thing was malformed, so that a caller can tell foreign bytes from
 * faults of its own.
 */

/** A value in the state store that cannot be decoded as the record that its key says it is. */
export class MalformedRecordError extends Error {
  override readonly name = 'MalformedRecordError';

  constructor(
    /** Which kind of record, as in `Key.kind`. */
    readonly record: 'job' | 'leader' | 'page',
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(`malformed ${record} record: ${reason}`, options);
  }
}

/** Bytes from another controller that are not a frame, or a frame whose payload contradicts its header. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';

  constructor(readonly reason: string) {
    super(`malformed frame: ${reason}`);
  }
}

/** A message body of an outside system that does not have the shape of its interface. */
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
