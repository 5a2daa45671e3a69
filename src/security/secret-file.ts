/** The secret that a cluster's own processes share. */
import { readFileSync } from 'node:fs';
import { toError } from '../errors/ternmount-error.js';
import { SettingsError } from '../settings/settings-error.js';

const MINIMUM_LENGTH = 16;

/** Reads the secret; empty without a file. Throws `SettingsError`. */
export function readSecret(path: string | null): string {
  if (path === null) {
    return '';
  }
  let secret: string;
  try {
    secret = readFileSync(path, 'utf8').trim();
  } catch (thrown) {
    const { code, message } = toError(thrown) as NodeJS.ErrnoException;
    throw new SettingsError([{ source: path, path: '', message: `can't be read (${code ?? message})` }]);
  }
  if (secret.length < MINIMUM_LENGTH) {
    const message = `the secret must have ${MINIMUM_LENGTH} characters or more`;
    throw new SettingsError([{ source: path, path: '', message }]);
  }
  return secret;
}
