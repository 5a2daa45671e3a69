/** `service apply`: makes the declarations of files the ones in force. */
import { randomUUID } from 'node:crypto';
import { loadDefinitions } from '../../settings/definition-documents.js';
import type { ChangeBody } from '../api-types.js';
import { UsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, createClient, REVISION_OPTION, waitQuery } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { checkDeclarations, type PlannedChange, planChanges, readCurrent } from '../declaration-plan.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { DRY_RUN_OPTION, writePreview } from '../preview.js';
import { reportChange } from '../report-change.js';

async function send(
  invocation: Invocation,
  client: ControlClient,
  change: PlannedChange,
  ids: { readonly commandId: string; readonly requestId: string },
): Promise<ExitCode> {
  const { body } = await client.change<ChangeBody>({
    ...ids,
    method: 'PUT',
    path: change.path + waitQuery(invocation.options),
    body: change.definition,
    expected: invocation.options.count('revision') ?? change.revision,
  });
  return reportChange(invocation, change.identity, body);
}

async function sendAll(
  invocation: Invocation,
  client: ControlClient,
  changes: readonly PlannedChange[],
): Promise<ExitCode> {
  const resent = invocation.options.text('request-id');
  const commandId = resent ?? randomUUID();
  let exitCode: ExitCode = EXIT_CODES.ok;
  for (const change of changes) {
    if (change.difference.length === 0 && resent === undefined) {
      invocation.io.write(`${change.identity}: unchanged\n`);
      continue;
    }
    const requestId = changes.length === 1 ? commandId : `${commandId}/${change.identity}`;
    const result = await send(invocation, client, change, { commandId, requestId });
    exitCode = result === EXIT_CODES.ok ? exitCode : result;
  }
  return exitCode;
}

async function run(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const documents = positionals.flatMap((file) => loadDefinitions(file));
  if (options.text('revision') !== undefined && documents.length > 1) {
    throw new UsageError('--revision is for a file with one declaration');
  }
  const client = createClient(options, io);
  const current = await readCurrent(client);
  checkDeclarations(documents, current);
  const changes = planChanges(documents, current);
  if (options.on('dry-run')) {
    for (const { identity, before, after, revision } of changes) {
      writePreview(io, identity, { before, after, revision });
    }
    return EXIT_CODES.ok;
  }
  return sendAll(invocation, client, changes);
}

export const serviceApply: CommandSpec = {
  name: 'service apply',
  arguments: '<...files>',
  summary: 'Make the services and upstreams that files declare the ones in force',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['service apply menu.yaml', 'service apply menu.yaml --dry-run'],
  run,
};
