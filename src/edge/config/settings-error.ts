/** @file The error for whatever is wrong with the files that the program is started with. */

/** A mistake in a settings file: its message is printed in one line, and the program ends with exit code 2. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
