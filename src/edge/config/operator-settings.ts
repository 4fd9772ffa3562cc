/**
 * @file Parses the operators' settings: S-expressions such as `(placement (alpha 0.25) (lambda 0.5))`, each value
 * checked against a range. docs/settings.md describes the purpose of each setting.
 */
import type { Node } from 'sexpr-plus';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import { seconds } from '../../core/model/time.js';
import { readSettingsFile } from './settings-file.js';
import { atomOf, failAt, listOf, readForms } from './sexpr.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The definition of a setting: the range of its values, both ends included, and how a value is applied. */
interface SettingDefinition {
  readonly min: number;
  readonly max: number;
  readonly apply: (settings: Mutable<OperatorSettings>, value: number) => void;
}

/** The values of the settings that the file does not set. */
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

/** All settings by group, under their names in the file. */
export const SETTING_DEFINITIONS: Readonly<Record<string, Readonly<Record<string, SettingDefinition>>>> = {
  placement: {
    alpha: { min: 0.25, max: 0.75, apply: (settings, value) => (settings.alpha = value) },
    lambda: { min: 0, max: 60, apply: (settings, value) => (settings.lambda = value) },
    'beta-cs': { min: 0, max: 60, apply: (settings, value) => (settings.betaCs = value) },
    'beta-rc': { min: 0, max: 60, apply: (settings, value) => (settings.betaRc = value) },
    phi: { min: 0.01, max: 1, apply: (settings, value) => (settings.phi = value) },
    bandwidth: { min: 0.001, max: 1000, apply: (settings, value) => (settings.bandwidth = value) },
  },
  fleet: {
    'idle-s': { min: 5, max: 86_400, apply: (settings, value) => (settings.idleTimeout = seconds(value)) },
    reserve: { min: 0, max: 5, apply: (settings, value) => (settings.reserveShare = value) },
  },
  machines: {
    'fault-jobs': {
      min: 1,
      max: 100,
      apply: (settings, value) => (settings.quarantineThreshold = Math.round(value)),
    },
  },
};

/**
 * Parses operators' settings from text. Throws a SettingsError with the line of a mistake, or without it for a mistake
 * in the syntax.
 */
export function parseOperatorSettings(text: string, sourceName: string): OperatorSettings {
  const settings: Mutable<OperatorSettings> = { ...DEFAULT_SETTINGS };
  for (const form of readForms(text, sourceName)) {
    const [head, ...entries] = listOf(form, sourceName);
    const group = atomOf(head, form, sourceName);
    const definitions =
      SETTING_DEFINITIONS[group] ??
      failAt(
        form,
        sourceName,
        `unknown group "${group}" (known: ${Object.keys(SETTING_DEFINITIONS).join(', ')})`,
      );
    for (const entry of entries) applySetting(settings, entry, group, definitions, sourceName);
  }
  return settings;
}

function applySetting(
  settings: Mutable<OperatorSettings>,
  entry: Node,
  group: string,
  definitions: Readonly<Record<string, SettingDefinition>>,
  sourceName: string,
): void {
  const parts = listOf(entry, sourceName);
  const key = atomOf(parts[0], entry, sourceName);
  const definition = definitions[key] ?? failAt(entry, sourceName, `unknown setting "${key}" in ${group}`);
  const value = Number(atomOf(parts[1], entry, sourceName));
  if (parts.length !== 2 || !Number.isFinite(value)) failAt(entry, sourceName, `${key} takes one number`);
  if (value < definition.min || value > definition.max)
    failAt(entry, sourceName, `${key} must be from ${definition.min} to ${definition.max}`);
  definition.apply(settings, value);
}

/** Reads operators' settings from a file. Without a path, returns the defaults. */
export function readOperatorSettings(path: string | undefined): OperatorSettings {
  return path === undefined ? DEFAULT_SETTINGS : parseOperatorSettings(readSettingsFile(path), path);
}
