/** Options of commands that start a daemon or create its folder: one for each setting, and the settings file. */
import { flagName, type SettingName, type SettingsLayers } from '../settings/layers.js';
import type { CommandSpec, Invocation } from './command-spec.js';

const SETTINGS_FILE_OPTION = {
  name: 'settings',
  value: 'file',
  summary: 'YAML file with settings; the environment and flags override it',
} as const;

/** Returns an option for each setting, and the one for the settings file. */
export function settingsOptions(names: readonly SettingName[]): CommandSpec['options'] {
  const options = names.map(({ path, list }) => ({
    name: flagName(path),
    value: list ? 'list' : 'value',
    summary: `Setting ${path.join('.')}${list ? ', with commas' : ''}`,
  }));
  return [SETTINGS_FILE_OPTION, ...options];
}

/** Returns the settings layers: file, environment and flags. */
export function settingsLayers({ options, io }: Invocation): SettingsLayers {
  const file = options.text(SETTINGS_FILE_OPTION.name);
  const { [SETTINGS_FILE_OPTION.name]: _file, ...flags } = options.texts();
  return { ...(file === undefined ? {} : { file }), environment: io.environment, flags };
}
