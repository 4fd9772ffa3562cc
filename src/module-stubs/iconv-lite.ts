/** In place of iconv-lite, 500 kB of alphabets that express loads for text bodies. We read none: bodies are CBOR. */
export const encodingExists = (): boolean => false;

export function getDecoder(): never {
  throw new Error('text bodies are not read');
}
