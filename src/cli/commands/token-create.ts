/** `token create`: creates an operator's token and adds its hash to a tokens file. */
import { createToken, hashToken, OPERATOR_ROLES } from '../../security/operator-tokens.js';
import { addToken } from '../../security/token-file.js';
import { nameSchema } from '../../settings/definition-schemas.js';
import { UsageError } from '../cli-error.js';
import type { CommandSpec } from '../command-spec.js';
import { EXIT_CODES } from '../exit-codes.js';

export const tokenCreate: CommandSpec = {
  name: 'token create',
  arguments: '<name>',
  summary: 'Make a token, add its hash to a tokens file, and show the token once',
  options: [
    { name: 'file', value: 'path', summary: 'Tokens file of the control members' },
    { name: 'role', value: 'role', summary: 'read (default) or write' },
    { name: 'expires', value: 'duration', summary: 'Stop accepting it after this, e.g. 90d; default: never' },
  ],
  examples: ['token create ana --role write --file tokens.yaml --expires 90d'],
  run: async ({ options, io, positionals }) => {
    const [name = ''] = positionals;
    const checked = nameSchema.safeParse(name);
    if (!checked.success) {
      throw new UsageError(`name ${JSON.stringify(name)}: ${checked.error.issues[0]?.message}`);
    }
    const role = options.choice('role', OPERATOR_ROLES, 'read');
    const lifetime = options.duration('expires');
    const expires = lifetime === undefined ? null : new Date(Date.now() + lifetime).toISOString();
    const token = createToken();
    addToken(options.required('file'), { name, role, sha256: hashToken(token), expires });
    io.write(`${token}\n`);
    io.writeError(
      `Save the token: it is not stored anywhere. Copy the tokens file to each control member.\n`,
    );
    return EXIT_CODES.ok;
  },
};
