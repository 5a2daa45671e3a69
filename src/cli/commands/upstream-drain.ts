/** `upstream drain`. */
import type { UpstreamRecord } from '../../registry/types.js';
import { upstreamDocument } from '../../settings/definition-writer.js';
import { CliError, NotFoundError } from '../cli-error.js';
import { CHANGE_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readOwnedShards, readUpstream, upstreamPath } from '../current.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

const DRAIN_POLL_MILLIS = 500;
const DEFAULT_DRAIN_MILLIS = 300_000;

/** Waits until an upstream owns no shards. */
async function waitUntilEmpty(invocation: Invocation, id: string): Promise<ExitCode> {
  const { options, io } = invocation;
  const client = createClient(options, io);
  await existingUpstream(client, id);
  const deadline = performance.now() + (options.duration('drain-timeout') ?? DEFAULT_DRAIN_MILLIS);
  let lastOwned: number | undefined;
  while (!io.stopSignal.aborted) {
    const owned = (await readOwnedShards(client, id)).length;
    if (owned === 0) {
      io.write(`upstream/${id}: owns nothing\n`);
      return EXIT_CODES.ok;
    }
    if (owned !== lastOwned) {
      io.write(`upstream/${id}: owns ${owned} shards\n`);
      lastOwned = owned;
    }
    if (performance.now() >= deadline) {
      break;
    }
    await io.sleep(DRAIN_POLL_MILLIS);
  }
  throw new CliError(
    EXIT_CODES.failed,
    'STILL_DRAINING',
    `upstream/${id} still owns shards; the drain continues`,
  );
}

async function existingUpstream(client: ControlClient, id: string): Promise<UpstreamRecord> {
  const record = await readUpstream(client, id);
  if (record === null) {
    throw new NotFoundError(`there is no upstream ${JSON.stringify(id)}`);
  }
  return record;
}

async function previewDrain(client: ControlClient, id: string, leaving: boolean): Promise<Preview> {
  const record = await existingUpstream(client, id);
  const before = upstreamDocument(record.definition);
  return { before, after: { ...before, leaving }, revision: record.revision };
}

async function drain(invocation: Invocation): Promise<ExitCode> {
  const { options, positionals } = invocation;
  const [id = ''] = positionals;
  const leaving = !options.on('undo');
  const exitCode = await sendChange(invocation, {
    what: `upstream/${id}`,
    request: { method: 'POST', path: `${upstreamPath(id)}/drain`, body: { leaving } },
    preview: (client) => previewDrain(client, id, leaving),
  });
  if (!options.on('until-empty') || !leaving || options.on('dry-run')) {
    return exitCode;
  }
  const emptied = await waitUntilEmpty(invocation, id);
  return exitCode === EXIT_CODES.ok ? emptied : exitCode;
}

export const upstreamDrain: CommandSpec = {
  name: 'upstream drain',
  arguments: '<id>',
  summary: 'Give an upstream no new work and move its shards away; requests in flight finish',
  options: [
    { name: 'undo', summary: 'Undo an earlier drain' },
    { name: 'until-empty', summary: 'Wait until it owns no shard any more' },
    { name: 'drain-timeout', value: 'duration', summary: 'Longest wait with --until-empty; default 5m' },
    ...CHANGE_OPTIONS,
    DRY_RUN_OPTION,
  ],
  examples: ['upstream drain menu-7 --until-empty', 'upstream drain menu-7 --undo'],
  run: drain,
};
