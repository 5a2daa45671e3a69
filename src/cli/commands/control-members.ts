/** `control add`, `control add-learner`, `control replace`, `control transfer` and `control snapshot`. */
import type { MembershipBody, StatusBody } from '../api-types.js';
import { CliError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';

const REPAIR_POLL_MILLIS = 500;
const DEFAULT_REPAIR_MILLIS = 600_000;

const ADDRESS_OPTION = {
  name: 'address',
  value: 'ip:port',
  summary: 'Internal address of the new replica',
} as const;

function isRepaired(status: StatusBody, oldReplica: string, newReplica: string): boolean {
  const { voters, outgoingVoters } = status.raft.membership;
  return voters.includes(newReplica) && !voters.includes(oldReplica) && outgoingVoters.length === 0;
}

/** Polls until the new replica votes and the old one doesn't. */
async function waitForRepair(
  invocation: Invocation,
  client: ControlClient,
  oldReplica: string,
  newReplica: string,
): Promise<ExitCode> {
  const { options, io } = invocation;
  const until = performance.now() + (options.duration('repair-timeout') ?? DEFAULT_REPAIR_MILLIS);
  io.write(`${newReplica} catches up; this returns once it votes in place of ${oldReplica}\n`);
  while (!io.stopSignal.aborted && performance.now() < until) {
    if (isRepaired(await client.read<StatusBody>('/v1/status'), oldReplica, newReplica)) {
      io.write(`repaired: ${newReplica} votes in place of ${oldReplica}\n`);
      return EXIT_CODES.ok;
    }
    await io.sleep(REPAIR_POLL_MILLIS);
  }
  const message = `not repaired yet: ${newReplica} does not vote; don't take another member down`;
  throw new CliError(EXIT_CODES.failed, 'NOT_REPAIRED', message);
}

async function replace(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [oldReplica = '', newReplica = ''] = positionals;
  const address = options.required('address');
  const client = createClient(options, io);
  const body = { oldReplica, newReplica, address };
  const answer = await client.change<MembershipBody>({ method: 'POST', path: '/v1/control/replace', body });
  if (answer.body.repaired) {
    io.write(`repaired: ${newReplica} votes in place of ${oldReplica}\n`);
    return EXIT_CODES.ok;
  }
  if (!options.on('wait')) {
    io.write(`accepted: ${newReplica} catches up; not repaired yet\n`);
    return EXIT_CODES.ok;
  }
  return waitForRepair(invocation, client, oldReplica, newReplica);
}

export const controlReplace: CommandSpec = {
  name: 'control replace',
  arguments: '<old-replica> <new-replica>',
  summary: 'Put a new replica in the place of a lost one, once it holds everything',
  options: [
    ADDRESS_OPTION,
    { name: 'wait', summary: 'Return once the cluster is repaired (default)', onByDefault: true },
    { name: 'repair-timeout', value: 'duration', summary: 'Longest wait; default 10m' },
    ...CLIENT_OPTIONS,
  ],
  examples: ['control replace r-1f3a r-77c0 --address 10.0.0.4:7400'],
  run: replace,
};

async function add(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [replica = ''] = positionals;
  const body = { replica, address: options.required('address') };
  const client = createClient(options, io);
  const answer = await client.change<MembershipBody>({ method: 'POST', path: '/v1/control/add', body });
  const { voters } = answer.body.membership;
  io.write(`${replica} votes; the cluster has ${voters.length} voters\n`);
  return EXIT_CODES.ok;
}

export const controlAdd: CommandSpec = {
  name: 'control add',
  arguments: '<replica>',
  summary: 'Take a new replica in; it votes once it holds everything',
  options: [ADDRESS_OPTION, ...CLIENT_OPTIONS],
  examples: ['control add r-77c0 --address 10.0.0.4:7400'],
  run: add,
};

export const controlAddLearner: CommandSpec = {
  name: 'control add-learner',
  arguments: '<replica>',
  summary: 'Let a new replica follow the log without a vote, as a spare',
  options: [ADDRESS_OPTION, ...CLIENT_OPTIONS],
  examples: ['control add-learner r-77c0 --address 10.0.0.4:7400'],
  run: async ({ options, io, positionals }) => {
    const [replica = ''] = positionals;
    const body = { replica, address: options.required('address') };
    await createClient(options, io).change({ method: 'POST', path: '/v1/control/add-learner', body });
    io.write(`${replica} follows the log\n`);
    return EXIT_CODES.ok;
  },
};

export const controlTransfer: CommandSpec = {
  name: 'control transfer',
  arguments: '[replica]',
  summary: 'Hand leadership to a replica, or to the best one',
  options: CLIENT_OPTIONS,
  examples: ['control transfer', 'control transfer r-77c0'],
  run: async ({ options, io, positionals }) => {
    const to = positionals[0] ?? null;
    await createClient(options, io).change({ method: 'POST', path: '/v1/control/transfer', body: { to } });
    io.write(`leadership goes to ${to ?? 'the best replica'}\n`);
    return EXIT_CODES.ok;
  },
};

export const controlSnapshot: CommandSpec = {
  name: 'control snapshot',
  summary: 'Take a snapshot now and drop the log before it',
  options: CLIENT_OPTIONS,
  run: async ({ options, io }) => {
    await createClient(options, io).change({ method: 'POST', path: '/v1/control/snapshot', body: {} });
    io.write('snapshot taken\n');
    return EXIT_CODES.ok;
  },
};
