import { Command, CommanderError } from 'commander';
import { version } from '../package.json';
import { readOperatorSettings } from './edge/config/operator-settings.js';
import { readFeatures } from './edge/config/features.js';
import { createLogger } from './edge/runtime/logger.js';
import { startService } from './edge/service.js';
import { SettingsError, readPlatformSettings } from './edge/config/platform-settings.js';

interface Options {
  config: string;
  settings?: string;
  features?: string;
  check?: boolean;
}

const program = new Command('pumiceroad')
  .description('One controller of a cluster scheduler. Runs until it is killed.')
  .version(version)
  .requiredOption('--config <file>', 'the settings file that the platform hands over (JSON)')
  .option('--settings <file>', "operators' settings (S-expressions); see docs/settings.md")
  .option('--features <file>', 'features that are switched on (S-expressions); see docs/operations')
  .option('--check', 'read and check the settings, then end')
  .exitOverride()
  .action((o: Options) => {
    const platform = readPlatformSettings(o.config);
    const settings = readOperatorSettings(o.settings);
    const features = readFeatures(o.features);
    if (o.check === true) {
      process.stdout.write('settings are valid\n');
      return;
    }
    const logger = createLogger(platform.label);
    const all = startService(platform, settings, features, logger, (reason) => {
      process.stderr.write(`pumiceroad: ${reason}\n`);
      process.exit(1);
    });
    for (const s of ['SIGINT', 'SIGTERM'] as const)
      process.once(s, () => {
        all.unsubscribe();
        process.exit(0);
      });
  });

try {
  program.parse();
} catch (e) {
  if (e instanceof CommanderError) process.exitCode = e.exitCode === 0 ? 0 : 2;
  else if (e instanceof SettingsError) {
    process.stderr.write(`pumiceroad: ${e.message}\n`);
    process.exitCode = 2;
  } else throw e;
}
