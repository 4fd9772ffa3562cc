/**
 * @file Reads the names of the enabled features. The code of a feature is loaded by feature-loader.ts, so that reading
 * the names loads none of it.
 */
import type { Node } from 'sexpr-plus';
import { readSettingsFile } from './settings-file.js';
import { atomOf, failAt, listOf, readForms } from './sexpr.js';

/** A feature that can be enabled in addition to what every controller does. */
export type Feature = 'zone-recovery';

const KNOWN_FEATURES: readonly Feature[] = ['zone-recovery'];

/** The enabled features. */
export type Features = ReadonlySet<Feature>;

/**
 * Parses features from text such as `(features zone-recovery)`. Throws a SettingsError with the line of a mistake, or
 * without it for a mistake in the syntax.
 */
export function parseFeatures(text: string, sourceName: string): Features {
  const features = new Set<Feature>();
  for (const form of readForms(text, sourceName)) {
    const [head, ...entries] = listOf(form, sourceName);
    const group = atomOf(head, form, sourceName);
    if (group !== 'features') failAt(form, sourceName, `unknown group "${group}" (known: features)`);
    for (const entry of entries) features.add(parseFeature(entry, form, sourceName));
  }
  return features;
}

function parseFeature(entry: Node, form: Node, sourceName: string): Feature {
  const featureName = atomOf(entry, form, sourceName);
  return (
    KNOWN_FEATURES.find((feature) => feature === featureName) ??
    failAt(entry, sourceName, `unknown feature "${featureName}" (known: ${KNOWN_FEATURES.join(', ')})`)
  );
}

/** Reads features from a file. Without a path, no features are enabled. */
export function readFeatures(path: string | undefined): Features {
  return path === undefined ? new Set() : parseFeatures(readSettingsFile(path), path);
}
