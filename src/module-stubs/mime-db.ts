/**
 * @file Replaces mime-db in the bundle: 150 kB of media types that express loads for files and typed answers, though
 * all our answers are CBOR and name their type themselves. Measured together with the stub of iconv-lite.
 */
export default {};
