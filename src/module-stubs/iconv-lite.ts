/** In place of iconv-lite, 500 kB of alphabets that express loads for text bodies. We read none: bodies are CBOR. */
export const encodingExists = (): boolean => false;

/** Never called: bodies are not text. */
export function getDecoder(): never {
  throw new Error('text bodies are not read');
}
