/**
 * @file Replaces mime-db in the bundle: 150 kB of media types that express loads for files and typed responses,
 * although all responses here are CBOR and set their media type themselves. The effect was measured together with the
 * stub of iconv-lite.
 */
export default {};
