/**
 * @file The operators' own settings: S-expressions such as `(placement (alpha 0.25) (lambda 0.5))`, each with a checked
 * range. docs/settings.md says what each is for.
 */
import type { Node } from 'sexpr-plus';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import { seconds } from '../../core/model/time.js';
import { readSettingsFile } from './settings-file.js';
import { atomOf, failAt, listOf, readForms } from './sexpr.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** One setting: the range of its values, both ends included, and how a value is applied. */
interface SettingRange {
  readonly low: number;
  readonly high: number;
  readonly apply: (settings: Mutable<OperatorSettings>, value: number) => void;
}

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

/** All settings by group, under the names that the file uses. */
export const SETTING_RANGES: Readonly<Record<string, Readonly<Record<string, SettingRange>>>> = {
  placement: {
    alpha: { low: 0.25, high: 0.75, apply: (settings, value) => (settings.alpha = value) },
    lambda: { low: 0, high: 60, apply: (settings, value) => (settings.lambda = value) },
    'beta-cs': { low: 0, high: 60, apply: (settings, value) => (settings.betaCs = value) },
    'beta-rc': { low: 0, high: 60, apply: (settings, value) => (settings.betaRc = value) },
    phi: { low: 0.01, high: 1, apply: (settings, value) => (settings.phi = value) },
    bandwidth: { low: 0.001, high: 1000, apply: (settings, value) => (settings.bandwidth = value) },
  },
  fleet: {
    'idle-s': { low: 5, high: 86_400, apply: (settings, value) => (settings.idleTimeout = seconds(value)) },
    reserve: { low: 0, high: 5, apply: (settings, value) => (settings.reserveShare = value) },
  },
  machines: {
    'fault-jobs': {
      low: 1,
      high: 100,
      apply: (settings, value) => (settings.quarantineThreshold = Math.round(value)),
    },
  },
};

/** Reads operators' settings from text; a mistake is a SettingsError with its line. */
export function parseOperatorSettings(text: string, sourceName: string): OperatorSettings {
  const settings: Mutable<OperatorSettings> = { ...DEFAULT_SETTINGS };
  for (const form of readForms(text, sourceName)) {
    const [head, ...entries] = listOf(form, sourceName);
    const group = atomOf(head, form, sourceName);
    const ranges =
      SETTING_RANGES[group] ??
      failAt(form, sourceName, `unknown group "${group}" (known: ${Object.keys(SETTING_RANGES).join(', ')})`);
    for (const entry of entries) applySetting(settings, entry, group, ranges, sourceName);
  }
  return settings;
}

function applySetting(
  settings: Mutable<OperatorSettings>,
  entry: Node,
  group: string,
  ranges: Readonly<Record<string, SettingRange>>,
  sourceName: string,
): void {
  const parts = listOf(entry, sourceName);
  const key = atomOf(parts[0], entry, sourceName);
  const range = ranges[key] ?? failAt(entry, sourceName, `unknown setting "${key}" in ${group}`);
  const value = Number(atomOf(parts[1], entry, sourceName));
  if (parts.length !== 2 || !Number.isFinite(value)) failAt(entry, sourceName, `${key} takes one number`);
  if (value < range.low || value > range.high)
    failAt(entry, sourceName, `${key} must be from ${range.low} to ${range.high}`);
  range.apply(settings, value);
}

/** Reads operators' settings from a file; the defaults without one. */
export function readOperatorSettings(path: string | undefined): OperatorSettings {
  return path === undefined ? DEFAULT_SETTINGS : parseOperatorSettings(readSettingsFile(path), path);
}
