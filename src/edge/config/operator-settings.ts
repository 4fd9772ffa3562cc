import { readFileSync } from 'node:fs';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import { seconds, toSeconds } from '../../core/model/time.js';
import { SettingsError } from './platform-settings.js';
import { atomOf, failAt, listOf, readForms } from './sexpr.js';

/** The operators' own settings: S-expressions such as `(placement (alpha 0.25) (lambda 0.5))`, with checked ranges. */
interface Range {
  readonly low: number;
  readonly high: number;
  readonly set: (k: Mutable<OperatorSettings>, v: number) => void;
  readonly get: (settings: OperatorSettings) => number | null;
}
type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The operators' settings where the file names none. */
export const DEFAULT_SETTINGS: OperatorSettings = {
  alpha: 0.25,
  lambda: 0.5,
  betaCs: 0.01,
  betaRc: 0.02,
  phi: 0.1,
  bandwidth: null,
  idleTimeout: seconds(15),
  reserveShare: 0.35,
  quarantineThreshold: 2,
};

/** All settings by group, with their ranges. */
export const SETTING_RANGES: Record<string, Record<string, Range>> = {
  placement: {
    alpha: { low: 0.25, high: 0.75, set: (k, v) => (k.alpha = v), get: (settings) => settings.alpha },
    lambda: { low: 0, high: 60, set: (k, v) => (k.lambda = v), get: (settings) => settings.lambda },
    'beta-cs': { low: 0, high: 60, set: (k, v) => (k.betaCs = v), get: (settings) => settings.betaCs },
    'beta-rc': { low: 0, high: 60, set: (k, v) => (k.betaRc = v), get: (settings) => settings.betaRc },
    phi: { low: 0.01, high: 1, set: (k, v) => (k.phi = v), get: (settings) => settings.phi },
    bandwidth: {
      low: 0.001,
      high: 1000,
      set: (k, v) => (k.bandwidth = v),
      get: (settings) => settings.bandwidth,
    },
  },
  fleet: {
    'idle-s': {
      low: 5,
      high: 86_400,
      set: (k, v) => (k.idleTimeout = seconds(v)),
      get: (settings) => toSeconds(settings.idleTimeout),
    },
    reserve: {
      low: 0,
      high: 5,
      set: (k, v) => (k.reserveShare = v),
      get: (settings) => settings.reserveShare,
    },
  },
  machines: {
    'fault-jobs': {
      low: 1,
      high: 100,
      set: (k, v) => (k.quarantineThreshold = Math.round(v)),
      get: (settings) => settings.quarantineThreshold,
    },
  },
};

/** Reads operators' settings from text; a mistake is a SettingsError with its line. */
export function parseOperatorSettings(text: string, name: string): OperatorSettings {
  const settings: Mutable<OperatorSettings> = { ...DEFAULT_SETTINGS };
  for (const form of readForms(text, name)) {
    const [head, ...entries] = listOf(form, name);
    const group = atomOf(head, form, name);
    const known =
      SETTING_RANGES[group] ??
      failAt(form, name, `unknown group "${group}" (known: ${Object.keys(SETTING_RANGES).join(', ')})`);
    for (const entry of entries) {
      const parts = listOf(entry, name);
      const key = atomOf(parts[0], entry, name);
      const range = known[key] ?? failAt(entry, name, `unknown setting "${key}" in ${group}`);
      const value = Number(atomOf(parts[1], entry, name));
      if (parts.length !== 2 || !Number.isFinite(value)) failAt(entry, name, `${key} takes one number`);
      if (value < range.low || value > range.high)
        failAt(entry, name, `${key} must be from ${range.low} to ${range.high}`);
      range.set(settings, value);
    }
  }
  return settings;
}

/** Reads operators' settings from a file; the defaults without one. */
export function readOperatorSettings(path: string | undefined): OperatorSettings {
  if (path === undefined) return DEFAULT_SETTINGS;
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`cannot read ${path}: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
  return parseOperatorSettings(text, path);
}
