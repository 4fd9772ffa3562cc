/**
 * @file The binary encoding (CBOR) of every message body and stored value. It only ensures that the bytes are those
 * that the interfaces require; it does not depend on the content of messages.
 */
import { Encoder } from 'cbor-x';

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

const MAX_UINT32 = 0xffffffff;

/**
 * Replaces values that the library would not encode as the interfaces require: integers above 32 bits would become
 * floats, and fields without a value would become `undefined`. Revisions, fencing tokens and sequence numbers must
 * stay integers.
 */
function normalize(value: unknown): unknown {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && Math.abs(value) > MAX_UINT32 ? BigInt(value) : value;
  if (Array.isArray(value)) return value.map(normalize);
  if (value !== null && typeof value === 'object') {
    const fields: Record<string, unknown> = {};
    for (const [name, field] of Object.entries(value))
      if (field !== undefined) fields[name] = normalize(field);
    return fields;
  }
  return value;
}

/** Encodes a value as CBOR; object fields that are `undefined` are left out. */
export function encode(value: unknown): Buffer {
  return codec.encode(normalize(value));
}

/** Decodes a CBOR value; throws if the bytes are not valid CBOR. */
export function decode(bytes: Buffer): unknown {
  return codec.decode(bytes);
}
