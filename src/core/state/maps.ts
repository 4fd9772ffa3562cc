/** @file Nested maps. */

/** Returns the inner map for a key, and creates it if it is missing. */
export function getOrCreateMap<K, V>(outer: Map<string, Map<K, V>>, key: string): Map<K, V> {
  let inner = outer.get(key);
  if (inner === undefined) {
    inner = new Map();
    outer.set(key, inner);
  }
  return inner;
}
