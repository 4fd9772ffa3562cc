import { Encoder } from 'cbor-x';

const coder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

const MAX_UINT32 = 0xffffffff;

/**
 * What the library would write differently from what the interfaces ask: whole numbers above 32 bits go out as
 * floats, and fields without a value as `undefined`. Revisions, tokens and sequence numbers must stay integers.
 */
function plain(v: unknown): unknown {
  if (typeof v === 'number') return Number.isSafeInteger(v) && Math.abs(v) > MAX_UINT32 ? BigInt(v) : v;
  if (Array.isArray(v)) return v.map(plain);
  if (v !== null && typeof v === 'object') {
    const out: Record<string, unknown> = {};
    for (const [k, x] of Object.entries(v)) if (x !== undefined) out[k] = plain(x);
    return out;
  }
  return v;
}

/** Writes a value as CBOR. */
export function encode(v: unknown): Buffer {
  return coder.encode(plain(v));
}

/** Reads a CBOR value. */
export function decode(b: Buffer): unknown {
  return coder.decode(b);
}
