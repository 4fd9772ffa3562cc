/**
 * In place of mime-db, 150 kB of names that express loads for files and typed answers. All our bodies are CBOR and say
 * so themselves.
 */
export default {};
