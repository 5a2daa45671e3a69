/** Options of commands that send requests to control, and the client built from them. */
import { readFileSync } from 'node:fs';
import { toError } from '../errors/ternmount-error.js';
import { splitAddress } from '../settings/addresses.js';
import { UsageError } from './cli-error.js';
import type { CliIo } from './cli-io.js';
import type { OptionSpec } from './command-spec.js';
import { ControlClient } from './control-client.js';
import type { ParsedOptions } from './parsed-options.js';

/** Environment variables that can replace options. */
export const CLIENT_ENVIRONMENT = {
  control: 'TERNMOUNT_CONTROL_ADMIN',
  token: 'TERNMOUNT_TOKEN',
  tokenFile: 'TERNMOUNT_TOKEN_FILE',
} as const;

const DEFAULT_TIMEOUT_MILLIS = 15_000;

/** Options of every command that sends requests to a control member. */
export const CLIENT_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'control',
    value: 'addresses',
    summary: `Admin addresses of control members, with commas (or ${CLIENT_ENVIRONMENT.control})`,
  },
  {
    name: 'token-file',
    value: 'path',
    summary: `File with your token (or ${CLIENT_ENVIRONMENT.tokenFile}, or the token itself in ${CLIENT_ENVIRONMENT.token})`,
  },
  { name: 'timeout', value: 'duration', summary: 'Give up after this; default 15s' },
];

/** The option for resending an earlier change. */
export const REQUEST_ID_OPTION: OptionSpec = {
  name: 'request-id',
  value: 'id',
  summary: 'Repeat an earlier change whose outcome is not known; it is not made twice',
};

/** Options of commands that make a change. */
export const CHANGE_OPTIONS: readonly OptionSpec[] = [
  ...CLIENT_OPTIONS,
  REQUEST_ID_OPTION,
  {
    name: 'wait',
    summary: 'Return once the change is in force on every router (default)',
    onByDefault: true,
  },
];

/** The option for a conditional change. */
export const REVISION_OPTION: OptionSpec = {
  name: 'revision',
  value: 'number',
  summary: 'Change only if its revision is this; 0: only if it does not exist',
};

function readAddresses(options: ParsedOptions, io: CliIo): string[] {
  const fromOption = options.list('control');
  const variable = CLIENT_ENVIRONMENT.control;
  const fromEnvironment = (io.environment[variable] ?? '').split(',').map((item) => item.trim());
  const addresses = fromOption.length > 0 ? fromOption : fromEnvironment.filter((item) => item !== '');
  if (addresses.length === 0) {
    throw new UsageError(`say where control is: --control 10.0.0.1:7401,10.0.0.2:7401 or ${variable}`);
  }
  for (const address of addresses) {
    if (splitAddress(address) === undefined) {
      const message = `${JSON.stringify(address)} isn't an IP number with a port, e.g. 10.0.0.5:7401`;
      throw new UsageError(`${fromOption.length > 0 ? '--control' : variable}: ${message}`);
    }
  }
  return addresses;
}

function readToken(options: ParsedOptions, io: CliIo): string | null {
  const path = options.text('token-file') ?? io.environment[CLIENT_ENVIRONMENT.tokenFile];
  if (path !== undefined && path !== '') {
    try {
      return readFileSync(path, 'utf8').trim();
    } catch (thrown) {
      throw new UsageError(`--token-file: ${toError(thrown).message}`);
    }
  }
  const token = io.environment[CLIENT_ENVIRONMENT.token]?.trim();
  return token === undefined || token === '' ? null : token;
}

/** Creates the client from options and environment. Throws `UsageError`. */
export function createClient(options: ParsedOptions, io: CliIo): ControlClient {
  const addresses = readAddresses(options, io);
  const token = readToken(options, io);
  const timeoutMillis = options.duration('timeout') ?? DEFAULT_TIMEOUT_MILLIS;
  return new ControlClient({ addresses, token, timeoutMillis }, io);
}

/** Returns the query string for `--wait` or `--no-wait`. */
export function waitQuery(options: ParsedOptions): string {
  return `?wait=${options.on('wait')}`;
}
