/** `control replace`. */
import type { StatusBody } from '../api-types.js';
import { CliError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient, REQUEST_ID_OPTION } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { REPAIR_TIMEOUT_OPTION, sendOnce, sendUntilComplete } from '../member-change.js';
import { DRY_RUN_OPTION, writePreview } from '../preview.js';
import { ADDRESS_OPTION } from './control-members.js';

const REPLACE_PATH = '/v1/control/replace';

/** The requested replacement. */
interface Replacement {
  readonly oldReplica: string;
  readonly newReplica: string;
  readonly address: string;
}

function isRepaired({ raft }: StatusBody, { oldReplica, newReplica }: Replacement): boolean {
  const { voters, outgoingVoters } = raft.membership;
  return voters.includes(newReplica) && !voters.includes(oldReplica) && outgoingVoters.length === 0;
}

/** Replaces the replica; returns once the new one votes and the old one doesn't. */
async function replaceAndWait(
  invocation: Invocation,
  client: ControlClient,
  replacement: Replacement,
): Promise<ExitCode> {
  const { io } = invocation;
  const { oldReplica, newReplica } = replacement;
  io.write(`${newReplica} is catching up; the command returns once it votes in place of ${oldReplica}\n`);
  const completed = await sendUntilComplete(invocation, client, { path: REPLACE_PATH, body: replacement });
  if (completed === undefined) {
    const message = `not repaired yet: ${newReplica} does not vote; don't take another member down`;
    throw new CliError(EXIT_CODES.failed, 'NOT_REPAIRED', message);
  }
  io.write(`repaired: ${newReplica} votes in place of ${oldReplica}\n`);
  return EXIT_CODES.ok;
}

async function preview(
  invocation: Invocation,
  client: ControlClient,
  replacement: Replacement,
): Promise<ExitCode> {
  const status = await client.readLeaderStatus();
  const { voters } = status.raft.membership;
  const { oldReplica, newReplica } = replacement;
  const remaining = voters.filter((voter) => voter !== oldReplica && voter !== newReplica);
  const after = isRepaired(status, replacement) ? voters : [...remaining, newReplica];
  writePreview(invocation.io, 'control', {
    before: Object.fromEntries(voters.map((voter) => [voter, 'votes'])),
    after: Object.fromEntries(after.map((voter) => [voter, 'votes'])),
    revision: null,
  });
  return EXIT_CODES.ok;
}

async function replace(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [oldReplica = '', newReplica = ''] = positionals;
  const replacement = { oldReplica, newReplica, address: options.required('address') };
  const client = createClient(options, io);
  if (options.on('dry-run')) {
    return preview(invocation, client, replacement);
  }
  if (options.on('wait')) {
    return replaceAndWait(invocation, client, replacement);
  }
  const change = { path: REPLACE_PATH, body: replacement };
  const answer = await sendOnce(client, change, options.text('request-id'));
  io.write(
    answer?.repaired
      ? `repaired: ${newReplica} votes in place of ${oldReplica}\n`
      : `${newReplica} does not vote yet; see ternmount control status\n`,
  );
  return EXIT_CODES.ok;
}

export const controlReplace: CommandSpec = {
  name: 'control replace',
  arguments: '<old-replica> <new-replica>',
  summary: 'Replace a lost replica by a new one, once that has caught up',
  options: [
    ADDRESS_OPTION,
    { name: 'wait', summary: 'Return once the cluster is repaired (default)', onByDefault: true },
    REPAIR_TIMEOUT_OPTION,
    REQUEST_ID_OPTION,
    DRY_RUN_OPTION,
    ...CLIENT_OPTIONS,
  ],
  examples: [
    'control replace r-1f3a r-77c0 --address 10.0.0.4:7400 --dry-run',
    'control replace r-1f3a r-77c0 --address 10.0.0.4:7400',
  ],
  run: replace,
};
