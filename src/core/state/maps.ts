/** The inner map under a key, made when it is missing. */
export function getOrCreateMap<K, V>(outer: Map<string, Map<K, V>>, key: string): Map<K, V> {
  let m = outer.get(key);
  if (m === undefined) {
    m = new Map();
    outer.set(key, m);
  }
  return m;
}
