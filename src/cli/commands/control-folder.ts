/** `control init` and `control join`: create the data folder of a new replica. */
import { CONTROL_SETTING_NAMES, loadControlSettings } from '../../settings/control-settings.js';
import { createReplica, type NewReplica } from '../../storage/index.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { settingsLayers, settingsOptions } from '../settings-options.js';

async function createFolder(invocation: Invocation, role: NewReplica['role']): Promise<ExitCode> {
  const { cluster, dataFolder, advertise } = loadControlSettings(settingsLayers(invocation));
  const { replica } = await createReplica(dataFolder, { cluster, address: advertise, role });
  invocation.io.write(`${replica}\n`);
  return EXIT_CODES.ok;
}

export const controlInit: CommandSpec = {
  name: 'control init',
  summary: 'Begin a new cluster: make the data folder of its first replica, and print the replica',
  options: settingsOptions(CONTROL_SETTING_NAMES),
  examples: ['control init --settings control-1.yaml'],
  run: (invocation) => createFolder(invocation, 'first'),
};

export const controlJoin: CommandSpec = {
  name: 'control join',
  summary: 'Make the data folder of a replica for a cluster that runs, and print the replica',
  options: settingsOptions(CONTROL_SETTING_NAMES),
  examples: ['control join --settings control-2.yaml'],
  run: (invocation) => createFolder(invocation, 'joining'),
};
