/** @file The error for mistakes in the files that the program is started with. */

/** A mistake in a settings file. The program prints the message in one line and exits with code 2. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
