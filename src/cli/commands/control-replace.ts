/** `control replace`. */
import { randomUUID } from 'node:crypto';
import type { MembershipBody, StatusBody } from '../api-types.js';
import { CliError, UnknownOutcomeError, UnreachableError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient, REQUEST_ID_OPTION } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { DRY_RUN_OPTION, writePreview } from '../preview.js';
import { ADDRESS_OPTION } from './control-members.js';

const REPAIR_POLL_MILLIS = 500;
const DEFAULT_REPAIR_MILLIS = 600_000;

/** A replacement as asked for. */
interface Replacement {
  readonly oldReplica: string;
  readonly newReplica: string;
  readonly address: string;
}

function isRepaired({ raft }: StatusBody, { oldReplica, newReplica }: Replacement): boolean {
  const { voters, outgoingVoters } = raft.membership;
  return voters.includes(newReplica) && !voters.includes(oldReplica) && outgoingVoters.length === 0;
}

/** Asks once. `undefined`: no answer told how it went, which a replica that catches up slowly gives too. */
async function ask(
  client: ControlClient,
  body: Replacement,
  requestId: string,
): Promise<MembershipBody | undefined> {
  try {
    const request = { method: 'POST', path: '/v1/control/replace', body, requestId } as const;
    return (await client.change<MembershipBody>(request)).body;
  } catch (thrown) {
    if (thrown instanceof UnknownOutcomeError || thrown instanceof UnreachableError) {
      return undefined;
    }
    throw thrown;
  }
}

/** Asks until the new replica votes and the old one doesn't: a leader that is lost meanwhile forgets the replacement. */
async function repair(
  invocation: Invocation,
  client: ControlClient,
  replacement: Replacement,
): Promise<ExitCode> {
  const { options, io } = invocation;
  const { oldReplica, newReplica } = replacement;
  const requestId = options.text('request-id') ?? randomUUID();
  const until = performance.now() + (options.duration('repair-timeout') ?? DEFAULT_REPAIR_MILLIS);
  io.write(`${newReplica} catches up; this returns once it votes in place of ${oldReplica}\n`);
  while (!io.stopSignal.aborted) {
    const answer = await ask(client, replacement, requestId);
    if (answer?.repaired) {
      io.write(`repaired: ${newReplica} votes in place of ${oldReplica}\n`);
      return EXIT_CODES.ok;
    }
    if (performance.now() >= until) {
      break;
    }
    await io.sleep(REPAIR_POLL_MILLIS);
  }
  const message = `not repaired yet: ${newReplica} does not vote; don't take another member down`;
  throw new CliError(EXIT_CODES.failed, 'NOT_REPAIRED', message);
}

async function preview(
  invocation: Invocation,
  client: ControlClient,
  replacement: Replacement,
): Promise<ExitCode> {
  const status = await client.readLeaderStatus();
  const { voters } = status.raft.membership;
  const { oldReplica, newReplica } = replacement;
  const kept = voters.filter((voter) => voter !== oldReplica && voter !== newReplica);
  const after = isRepaired(status, replacement) ? voters : [...kept, newReplica];
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
    return repair(invocation, client, replacement);
  }
  const answer = await ask(client, replacement, options.text('request-id') ?? randomUUID());
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
  summary: 'Put a new replica in the place of a lost one, once it holds everything',
  options: [
    ADDRESS_OPTION,
    { name: 'wait', summary: 'Return once the cluster is repaired (default)', onByDefault: true },
    { name: 'repair-timeout', value: 'duration', summary: 'Longest wait; default 10m' },
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
