/** @file Reads the files that the program is started with. It must not interpret what they hold. */
import { readFileSync } from 'node:fs';
import { SettingsError } from './settings-error.js';

/** The text of a file; `description` names the file in the error's message. */
export function readSettingsFile(path: string, description = path): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? String(error);
    throw new SettingsError(`cannot read ${description}: ${code}`, { cause: error });
  }
}
