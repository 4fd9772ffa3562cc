import { readFileSync } from 'node:fs';
import { SettingsError } from './platform-settings.js';
import { atomOf, failAt, listOf, readForms } from './sexpr.js';

/** What may be switched on beyond what every controller does. */
export type Feature = 'zone-recovery';

const KNOWN: readonly Feature[] = ['zone-recovery'];

/** The features that are switched on. */
export type Features = ReadonlySet<Feature>;

/** Reads features from text such as `(features zone-recovery)`; a mistake is a SettingsError with its line. */
export function parseFeatures(text: string, name: string): Features {
  const features = new Set<Feature>();
  for (const form of readForms(text, name)) {
    const [head, ...entries] = listOf(form, name);
    const group = atomOf(head, form, name);
    if (group !== 'features') failAt(form, name, `unknown group "${group}" (known: features)`);
    for (const entry of entries) {
      const wanted = atomOf(entry, form, name);
      const feature = KNOWN.find((each) => each === wanted);
      if (feature === undefined)
        failAt(entry, name, `unknown feature "${wanted}" (known: ${KNOWN.join(', ')})`);
      else features.add(feature);
    }
  }
  return features;
}

/** Reads features from a file; none without one. */
export function readFeatures(path: string | undefined): Features {
  if (path === undefined) return new Set();
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`cannot read ${path}: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
  return parseFeatures(text, path);
}
