/** @file Reads the files that the program is started with. It must not interpret their contents. */
import { readFileSync } from 'node:fs';
import { SettingsError } from './settings-error.js';

/** Returns the text of a file. If it cannot be read, throws a SettingsError that names the file by `description`. */
export function readSettingsFile(path: string, description = path): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? String(error);
    throw new SettingsError(`cannot read ${description}: ${code}`, { cause: error });
  }
}
