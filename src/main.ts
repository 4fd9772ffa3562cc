/**
 * @file The command line: reads and checks the settings, starts the service and stops it on a signal. Exit codes: 2 for
 * a mistake in options or settings, 1 if the service cannot run. It must contain no logic of the service.
 */
import { Command, CommanderError } from 'commander';
import { version } from '../package.json';
import { readFeatures } from './edge/config/features.js';
import { readOperatorSettings } from './edge/config/operator-settings.js';
import { readPlatformSettings } from './edge/config/platform-settings.js';
import { SettingsError } from './edge/config/settings-error.js';
import { createLogger } from './edge/runtime/logger.js';
import { startService } from './edge/service.js';

const EXIT_SERVICE_FAILED = 1;
const EXIT_USAGE = 2;

interface Options {
  readonly config: string;
  readonly settings?: string;
  readonly features?: string;
  readonly check?: boolean;
}

function run(options: Options): void {
  const platform = readPlatformSettings(options.config);
  const settings = readOperatorSettings(options.settings);
  const features = readFeatures(options.features);
  if (options.check === true) {
    process.stdout.write('settings are valid\n');
    return;
  }
  const logger = createLogger(platform.label);
  const service = startService(platform, settings, features, logger, (reason) => {
    process.stderr.write(`pumiceroad: ${reason}\n`);
    process.exit(EXIT_SERVICE_FAILED);
  });
  for (const signal of ['SIGINT', 'SIGTERM'] as const)
    process.once(signal, () => {
      service.unsubscribe();
      process.exit(0);
    });
}

const program = new Command('pumiceroad')
  .description('One controller of a cluster scheduler. Runs until it is killed.')
  .version(version)
  .requiredOption('--config <file>', 'the settings file that the platform hands over (JSON)')
  .option('--settings <file>', "operators' settings (S-expressions); see docs/settings.md")
  .option('--features <file>', 'features that are switched on (S-expressions); see docs/operations')
  .option('--check', 'read and check the settings, then end')
  .exitOverride()
  .action(run);

try {
  program.parse();
} catch (error) {
  if (error instanceof CommanderError) process.exitCode = error.exitCode === 0 ? 0 : EXIT_USAGE;
  else if (error instanceof SettingsError) {
    process.stderr.write(`pumiceroad: ${error.message}\n`);
    process.exitCode = EXIT_USAGE;
  } else throw error;
}
