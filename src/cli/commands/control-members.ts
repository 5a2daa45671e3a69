/** `control add`, `control add-learner`, `control transfer` and `control snapshot`. */
import { CliError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient, REQUEST_ID_OPTION } from '../client-options.js';
import type { CommandSpec, Invocation, OptionSpec } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { REPAIR_TIMEOUT_OPTION, sendUntilComplete } from '../member-change.js';

const MEMBER_OPTIONS: readonly OptionSpec[] = [REQUEST_ID_OPTION, ...CLIENT_OPTIONS];

export const ADDRESS_OPTION: OptionSpec = {
  name: 'address',
  value: 'ip:port',
  summary: 'Internal address of the new replica',
};

async function sendMemberChange(
  { options, io }: Invocation,
  path: string,
  body: unknown,
  successText: string,
): Promise<ExitCode> {
  const requestId = options.text('request-id');
  await createClient(options, io).change({ method: 'POST', path, body, requestId });
  io.write(`${successText}\n`);
  return EXIT_CODES.ok;
}

async function add(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [replica = ''] = positionals;
  const body = { replica, address: options.required('address') };
  const client = createClient(options, io);
  const completed = await sendUntilComplete(invocation, client, { path: '/v1/control/add', body });
  if (completed === undefined) {
    const message = `${replica} does not vote yet; repeat the command`;
    throw new CliError(EXIT_CODES.failed, 'NOT_ADDED', message);
  }
  io.write(`${replica} votes\n`);
  return EXIT_CODES.ok;
}

export const controlAdd: CommandSpec = {
  name: 'control add',
  arguments: '<replica>',
  summary: 'Add a new replica; returns once it has caught up and votes',
  options: [ADDRESS_OPTION, REPAIR_TIMEOUT_OPTION, ...MEMBER_OPTIONS],
  examples: ['control add r-77c0 --address 10.0.0.4:7400'],
  run: add,
};

export const controlAddLearner: CommandSpec = {
  name: 'control add-learner',
  arguments: '<replica>',
  summary: 'Let a new replica follow the log without a vote, as a spare',
  options: [ADDRESS_OPTION, ...MEMBER_OPTIONS],
  examples: ['control add-learner r-77c0 --address 10.0.0.4:7400'],
  run: (invocation) => {
    const [replica = ''] = invocation.positionals;
    const body = { replica, address: invocation.options.required('address') };
    return sendMemberChange(invocation, '/v1/control/add-learner', body, `${replica} follows the log`);
  },
};

export const controlTransfer: CommandSpec = {
  name: 'control transfer',
  arguments: '[replica]',
  summary: 'Hand leadership to a replica, or to the best one',
  options: MEMBER_OPTIONS,
  examples: ['control transfer', 'control transfer r-77c0'],
  run: (invocation) => {
    const to = invocation.positionals[0] ?? null;
    const done = `leadership goes to ${to ?? 'the best replica'}`;
    return sendMemberChange(invocation, '/v1/control/transfer', { to }, done);
  },
};

export const controlSnapshot: CommandSpec = {
  name: 'control snapshot',
  summary: 'Take a snapshot now and drop the log before it',
  options: MEMBER_OPTIONS,
  examples: ['control snapshot'],
  run: (invocation) => sendMemberChange(invocation, '/v1/control/snapshot', {}, 'snapshot taken'),
};
