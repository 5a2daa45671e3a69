/** The secret shared by the processes of a cluster. */
import { readFileSync } from 'node:fs';
import { toError } from '../errors/ternmount-error.js';
import { SettingsError } from '../settings/settings-error.js';

const MIN_LENGTH = 16;

/** Reads the secret; returns an empty string if `path` is `null`. Throws `SettingsError`. */
export function readSecret(path: string | null): string {
  if (path === null) {
    return '';
  }
  let secret: string;
  try {
    secret = readFileSync(path, 'utf8').trim();
  } catch (thrown) {
    const { code, message } = toError(thrown) as NodeJS.ErrnoException;
    const reason = `can't be read (${code ?? message})`;
    throw new SettingsError([{ source: path, path: '', message: reason, mayPass: true }]);
  }
  if (secret.length < MIN_LENGTH) {
    const message = `the secret must have ${MIN_LENGTH} characters or more`;
    throw new SettingsError([{ source: path, path: '', message, mayPass: secret.length === 0 }]);
  }
  return secret;
}
