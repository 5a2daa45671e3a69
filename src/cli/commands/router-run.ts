/** `router run`. The daemon is imported lazily: it is most of the program, and other commands are short-lived. */
import { ROUTER_SETTING_NAMES } from '../../settings/router-settings.js';
import type { CommandSpec } from '../command-spec.js';
import { settingsOptions } from '../settings-options.js';

export const routerRun: CommandSpec = {
  name: 'router run',
  summary: 'Run a router; SIGTERM finishes the requests in flight and stops it',
  options: settingsOptions(ROUTER_SETTING_NAMES),
  examples: ['router run --settings router-1.yaml'],
  run: async (invocation) => {
    const { runRouter } = await import('../daemons/run-router.js');
    return runRouter(invocation);
  },
};
