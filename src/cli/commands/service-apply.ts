/** `service apply`: applies the declarations of files. */
import { randomUUID } from 'node:crypto';
import { loadDefinitions } from '../../settings/definition-documents.js';
import type { ChangeBody } from '../api-types.js';
import { rethrowAsUsageError, UsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, createClient, REVISION_OPTION, waitQuery } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { checkDeclarations, type PlannedChange, planChanges, readCurrent } from '../declaration-plan.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { DRY_RUN_OPTION, writePreview } from '../preview.js';
import { reportChange } from '../report-change.js';

/** A change that control has accepted. */
interface AcceptedChange {
  readonly identity: string;
  readonly body: ChangeBody;
}

/** Waits for the last change only: once its revision is in force, so are all earlier ones. */
function queryOf(invocation: Invocation, isLast: boolean): string {
  return isLast ? waitQuery(invocation.options) : '?wait=false';
}

async function sendAll(
  invocation: Invocation,
  client: ControlClient,
  changes: readonly PlannedChange[],
  commandId: string,
): Promise<ExitCode> {
  const { options } = invocation;
  const accepted: AcceptedChange[] = [];
  try {
    for (const change of changes) {
      const isLast = change === changes.at(-1);
      const { body } = await client.change<ChangeBody>({
        commandId,
        requestId: `${commandId}/${change.identity}`,
        method: 'PUT',
        path: change.path + queryOf(invocation, isLast),
        body: change.definition,
        expected: options.count('revision') ?? change.revision,
      });
      accepted.push({ identity: change.identity, body });
    }
  } catch (thrown) {
    for (const { identity, body } of accepted) {
      invocation.io.write(`${identity}: accepted, revision ${body.revision}\n`);
    }
    throw thrown;
  }
  const inForce = accepted.at(-1)?.body.inForce ?? true;
  const codes = accepted.map(({ identity, body }) =>
    reportChange(invocation, identity, { ...body, inForce }),
  );
  return codes.at(-1) ?? EXIT_CODES.ok;
}

/** Sends the changes that have a difference. A resend sends all of them, to get the outcome of the first run. */
async function apply(
  invocation: Invocation,
  client: ControlClient,
  changes: readonly PlannedChange[],
): Promise<ExitCode> {
  const resendId = invocation.options.text('request-id');
  const isNeeded = ({ difference }: PlannedChange) => difference.length > 0 || resendId !== undefined;
  for (const { identity } of changes.filter((change) => !isNeeded(change))) {
    invocation.io.write(`${identity}: unchanged\n`);
  }
  return sendAll(invocation, client, changes.filter(isNeeded), resendId ?? randomUUID());
}

async function run(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const documents = rethrowAsUsageError(() => positionals.flatMap((file) => loadDefinitions(file)));
  if (options.text('revision') !== undefined && documents.length > 1) {
    throw new UsageError('--revision is for a file with one declaration');
  }
  const client = createClient(options, io);
  const current = await readCurrent(client);
  rethrowAsUsageError(() => checkDeclarations(documents, current));
  const changes = planChanges(documents, current);
  if (options.on('dry-run')) {
    for (const { identity, before, after, revision } of changes) {
      writePreview(io, identity, { before, after, revision });
    }
    return EXIT_CODES.ok;
  }
  return apply(invocation, client, changes);
}

export const serviceApply: CommandSpec = {
  name: 'service apply',
  arguments: '<...files>',
  summary: 'Make the services and upstreams that files declare the ones in force',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['service apply menu.yaml', 'service apply menu.yaml --dry-run'],
  run,
};
