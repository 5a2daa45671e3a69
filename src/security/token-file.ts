/** The tokens file: YAML with a list `tokens`. Daemons apply changes to it without a restart. */
import { closeSync, fsyncSync, openSync, renameSync, statSync, writeSync } from 'node:fs';
import { dirname } from 'node:path';
import { stringify } from 'yaml';
import { z } from 'zod';
import { toError } from '../errors/ternmount-error.js';
import { createLogger } from '../logging/logger.js';
import { checkUnique, nameSchema } from '../settings/definition-schemas.js';
import { SettingsError } from '../settings/settings-error.js';
import { checkSource, readYaml } from '../settings/yaml-source.js';
import {
  findOperator,
  OPERATOR_ROLES,
  type Operator,
  type TokenAuthority,
  type TokenRecord,
} from './operator-tokens.js';

const FILE_MODE = 0o600;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const RELOAD_MILLIS = 1000;

const tokenSchema = z
  .strictObject({
    name: nameSchema,
    role: z.enum(OPERATOR_ROLES, { error: 'expected read or write' }),
    sha256: z.string().regex(SHA256_PATTERN, 'must be 64 hexadecimal digits'),
    expires: z.iso
      .datetime({ offset: true, error: 'expected a time such as 2030-01-31T00:00:00Z' })
      .optional(),
  })
  .transform((token): TokenRecord => ({ ...token, expires: token.expires ?? null }));

const tokenFileSchema = z.strictObject({ tokens: z.array(tokenSchema) }).superRefine((file, context) =>
  checkUnique(
    file.tokens.map((token) => token.name),
    ['tokens'],
    context,
  ),
);

/** Reads a tokens file. Throws `SettingsError`. */
export function readTokenFile(path: string): readonly TokenRecord[] {
  const [source] = readYaml(path);
  return source === undefined ? [] : checkSource(source, tokenFileSchema).tokens;
}

function fileExists(path: string): boolean {
  return statSync(path, { throwIfNoEntry: false }) !== undefined;
}

function syncFolder(folder: string): void {
  const handle = openSync(folder, 'r');
  try {
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
}

function replaceFile(path: string, text: string): void {
  const temporary = `${path}.new`;
  const handle = openSync(temporary, 'w', FILE_MODE);
  try {
    writeSync(handle, text);
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
  renameSync(temporary, path);
  syncFolder(dirname(path));
}

/** Adds a token to a file, which is created if needed. Throws `SettingsError` if the file already has a token of this name. */
export function addToken(path: string, record: TokenRecord): void {
  const records = fileExists(path) ? readTokenFile(path) : [];
  if (records.some((other) => other.name === record.name)) {
    const message = `a token named ${JSON.stringify(record.name)} already exists in the file`;
    throw new SettingsError([{ source: path, path: 'tokens', message }]);
  }
  const tokens = [...records, record].map(({ expires, ...rest }) =>
    expires === null ? rest : { ...rest, expires },
  );
  replaceFile(path, stringify({ tokens }));
}

/** Authenticates against a tokens file, which is reloaded within a second of a change. */
export class TokenFile implements TokenAuthority {
  readonly #path: string;
  readonly #wallClock: () => number;
  readonly #logger = createLogger('security');
  #records: readonly TokenRecord[];
  #modified: number;
  #checkedAt: number;

  /** Throws `SettingsError` if the file is invalid. */
  constructor(path: string, wallClock: () => number = Date.now) {
    this.#path = path;
    this.#wallClock = wallClock;
    this.#records = readTokenFile(path);
    this.#modified = statSync(path).mtimeMs;
    this.#checkedAt = wallClock();
  }

  authenticate(token: string): Operator | undefined {
    const now = this.#wallClock();
    if (Math.abs(now - this.#checkedAt) >= RELOAD_MILLIS) {
      this.#checkedAt = now;
      this.#reload();
    }
    return findOperator(this.#records, token, now);
  }

  /** If the file has become invalid, the last valid tokens stay in effect. */
  #reload(): void {
    try {
      const modified = statSync(this.#path).mtimeMs;
      if (modified !== this.#modified) {
        this.#records = readTokenFile(this.#path);
        this.#modified = modified;
        this.#logger.info('tokens-reloaded', { path: this.#path, tokens: this.#records.length });
      }
    } catch (thrown) {
      this.#logger.error('tokens-unreadable', { path: this.#path, error: toError(thrown) });
    }
  }
}
