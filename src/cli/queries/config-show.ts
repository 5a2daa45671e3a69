/** `config show`: prints the settings with which a daemon would start. */
import { stringify } from 'yaml';
import {
  CONTROL_SETTING_NAMES,
  type ControlSettings,
  loadControlSettings,
} from '../../settings/control-settings.js';
import { flagName, type SettingName, type SettingsLayers } from '../../settings/layers.js';
import {
  loadRouterSettings,
  ROUTER_SETTING_NAMES,
  type RouterSettings,
} from '../../settings/router-settings.js';
import { UsageError } from '../cli-error.js';
import type { CommandSpec, Invocation, OptionSpec } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

/** Daemons that have settings. */
const DAEMONS = ['control', 'router'] as const;
type DaemonKind = (typeof DAEMONS)[number];

const NAMES: Readonly<Record<DaemonKind, readonly SettingName[]>> = {
  control: CONTROL_SETTING_NAMES,
  router: ROUTER_SETTING_NAMES,
};

const LOADERS: Readonly<Record<DaemonKind, (layers: SettingsLayers) => ControlSettings | RouterSettings>> = {
  control: loadControlSettings,
  router: loadRouterSettings,
};

function settingOptions(): OptionSpec[] {
  const flags = new Set(
    [...CONTROL_SETTING_NAMES, ...ROUTER_SETTING_NAMES].map(({ path }) => flagName(path)),
  );
  return [...flags].map((name) => ({ name, value: 'value', summary: 'As the flag of the daemon' }));
}

function daemonKind(word: string): DaemonKind {
  const kind = DAEMONS.find((candidate) => candidate === word);
  if (kind === undefined) {
    throw new UsageError(`${JSON.stringify(word)} isn't one of ${DAEMONS.join(', ')}`);
  }
  return kind;
}

async function show({ options, io, positionals }: Invocation): Promise<ExitCode> {
  const kind = daemonKind(positionals[0] ?? '');
  const format = outputFormat(options);
  const file = options.text('settings');
  const flags = Object.fromEntries(
    NAMES[kind].map(({ path }) => [flagName(path), options.text(flagName(path))]),
  );
  const layers = { environment: io.environment, flags, ...(file === undefined ? {} : { file }) };
  const settings = LOADERS[kind](layers);
  writeOutput(io, format, settings, () => stringify(settings));
  return EXIT_CODES.ok;
}

export const configShow: CommandSpec = {
  name: 'config show',
  arguments: '<daemon>',
  summary: 'Show the settings that control or router would start from: file, environment, flags, defaults',
  options: [
    {
      name: 'settings',
      value: 'file',
      summary: 'YAML file with settings; the environment and flags stand above it',
    },
    ...settingOptions(),
    OUTPUT_OPTION,
  ],
  examples: ['config show control --settings control.yaml', 'config show router --settings router.yaml'],
  run: show,
};
