/**
 * Merges settings from three layers: a YAML file, the environment and flags. Later layers override single values of
 * earlier ones. The source of each value is kept, so that a problem is reported at its location.
 */
import { parseDocument } from 'yaml';
import { z } from 'zod';
import { SettingsError } from './settings-error.js';
import {
  formatPath,
  type LocateProblem,
  locateIssues,
  readYaml,
  type ValuePath,
  type YamlSource,
} from './yaml-source.js';

/** Name of one setting, from which its name in each layer is derived. */
export interface SettingName {
  /** Path in the file, e.g. `['timings', 'lease']`. */
  readonly path: readonly string[];
  /** Whether the value is a list, separated by commas in the environment or a flag. */
  readonly list?: boolean;
}

/** The sources of the settings. */
export interface SettingsLayers {
  /** Path of the YAML file, if any. */
  readonly file?: string;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Text of each flag by its name (`data-folder`). */
  readonly flags: Readonly<Record<string, string | undefined>>;
}

/** Returns the names of all settings of a schema, including those of nested groups. */
export function settingNamesOf(schema: z.ZodObject, group: readonly string[] = []): SettingName[] {
  return Object.entries(schema.shape).flatMap(([key, field]) => {
    const path = [...group, key];
    const inner = field instanceof z.ZodOptional ? field.unwrap() : field;
    if (inner instanceof z.ZodObject) {
      return settingNamesOf(inner, path);
    }
    return [inner instanceof z.ZodArray ? { path, list: true } : { path }];
  });
}

const ENVIRONMENT_PREFIX = 'TERNMOUNT_';

/** Converts `dataFolder` to `data-folder`. */
function toKebab(word: string): string {
  return word.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Returns the flag of a setting, e.g. `timings-lease`. */
export function flagName(path: readonly string[]): string {
  return path.map(toKebab).join('-');
}

/** Returns the environment variable of a setting, e.g. `TERNMOUNT_TIMINGS_LEASE`. */
export function environmentName(path: readonly string[]): string {
  return ENVIRONMENT_PREFIX + flagName(path).replaceAll('-', '_').toUpperCase();
}

/** A value from the environment or a flag, which overrides the file. */
interface Override {
  readonly path: readonly string[];
  readonly source: string;
  readonly value: unknown;
}

/** Parses text as YAML, so that `0.1` and `true` have the same meaning in each layer. */
function parseText(text: string, name: SettingName): unknown {
  if (name.list) {
    const items = text.split(',').map((item) => item.trim());
    return items.filter((item) => item !== '');
  }
  const value: unknown = parseDocument(text).toJS();
  return typeof value === 'number' || typeof value === 'boolean' ? value : text;
}

function findOverrides(layers: SettingsLayers, names: readonly SettingName[]): Override[] {
  const overrides: Override[] = [];
  for (const name of names) {
    const variable = environmentName(name.path);
    const fromEnvironment = layers.environment[variable];
    if (fromEnvironment !== undefined && fromEnvironment !== '') {
      overrides.push({ path: name.path, source: variable, value: parseText(fromEnvironment, name) });
    }
    const flag = flagName(name.path);
    const fromFlag = layers.flags[flag];
    if (fromFlag !== undefined) {
      overrides.push({ path: name.path, source: `--${flag}`, value: parseText(fromFlag, name) });
    }
  }
  return overrides;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns a copy of `root` with `value` at `path`. */
function withValue(root: unknown, path: readonly string[], value: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined) {
    return value;
  }
  const copy = isRecord(root) ? { ...root } : {};
  copy[step] = withValue(copy[step], rest, value);
  return copy;
}

function startsWith(path: ValuePath, prefix: readonly string[]): boolean {
  return prefix.every((step, index) => path[index] === step);
}

/** Contents of the file; an empty map if there is no file. */
interface FileLayer {
  readonly source: YamlSource | undefined;
  readonly value: unknown;
}

function readFileLayer(file: string | undefined): FileLayer {
  if (file === undefined) {
    return { source: undefined, value: {} };
  }
  const [source, second] = readYaml(file);
  if (source === undefined || second !== undefined) {
    throw new SettingsError([{ source: file, path: '', message: 'must hold one YAML document' }]);
  }
  const value = source.value ?? {};
  if (!isRecord(value)) {
    throw new SettingsError([source.problemAt([], 'must be a map of settings')]);
  }
  return { source, value };
}

/** Merges and checks the layers. Throws `SettingsError`. */
export function loadLayers<Output>(
  schema: z.ZodType<Output>,
  names: readonly SettingName[],
  layers: SettingsLayers,
): Output {
  const file = readFileLayer(layers.file);
  const overrides = findOverrides(layers, names);
  const merged = overrides.reduce<unknown>(
    (value, override) => withValue(value, override.path, override.value),
    file.value,
  );
  const result = schema.safeParse(merged);
  if (result.success) {
    return result.data;
  }
  const locate: LocateProblem = (path, message, key) => {
    const override = overrides.findLast((candidate) => startsWith(path, candidate.path));
    if (override !== undefined) {
      return { source: override.source, path: '', message };
    }
    if (file.source !== undefined) {
      return file.source.problemAt(path, message, key);
    }
    return { source: 'settings', path: formatPath(key === undefined ? path : [...path, key]), message };
  };
  throw new SettingsError(locateIssues(result.error.issues, merged, locate));
}
