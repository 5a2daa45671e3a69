/** `control run`. The daemon is imported lazily: it is most of the program, and other commands are short-lived. */
import { CONTROL_SETTING_NAMES } from '../../settings/control-settings.js';
import type { CommandSpec } from '../command-spec.js';
import { settingsOptions } from '../settings-options.js';

export const controlRun: CommandSpec = {
  name: 'control run',
  summary: 'Run a control member; SIGTERM hands leadership on and stops it',
  options: settingsOptions(CONTROL_SETTING_NAMES),
  examples: ['control run --settings control-1.yaml', 'control run --settings c.yaml --zone zone-b'],
  run: async (invocation) => {
    const { runControl } = await import('../daemons/run-control.js');
    return runControl(invocation);
  },
};
