/** `service apply`: makes the declarations of a file the system's own. */
import { randomUUID } from 'node:crypto';
import type { Revision } from '../../model/identifiers.js';
import { type DefinitionDocument, loadDefinitions } from '../../settings/definition-documents.js';
import { type DocumentMap, serviceDocument, upstreamDocument } from '../../settings/definition-writer.js';
import type { ChangeBody, ServicesBody, UpstreamsBody } from '../api-types.js';
import { UsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, createClient, REVISION_OPTION, waitQuery } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { differenceLines } from '../difference.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { reportChange } from '../report-change.js';

/** A declaration as it is now. */
interface CurrentDeclaration {
  readonly revision: Revision;
  readonly document: DocumentMap;
}

/** One declaration of the file, beside what stands now. */
interface PlannedChange {
  /** `service/name` or `upstream/id`. */
  readonly identity: string;
  readonly path: string;
  readonly definition: DefinitionDocument['definition'];
  readonly current: CurrentDeclaration | null;
  readonly difference: readonly string[];
}

function identityOf(document: DefinitionDocument): string {
  return document.kind === 'service'
    ? `service/${document.definition.name}`
    : `upstream/${document.definition.id}`;
}

function documentOf(document: DefinitionDocument): DocumentMap {
  return document.kind === 'service'
    ? serviceDocument(document.definition)
    : upstreamDocument(document.definition);
}

async function readCurrent(client: ControlClient): Promise<Map<string, CurrentDeclaration>> {
  const { services } = await client.read<ServicesBody>('/v1/services');
  const { upstreams } = await client.read<UpstreamsBody>('/v1/upstreams');
  const current = new Map<string, CurrentDeclaration>();
  for (const { definition, revision } of services) {
    current.set(`service/${definition.name}`, { revision, document: serviceDocument(definition) });
  }
  for (const { definition, revision } of upstreams) {
    current.set(`upstream/${definition.id}`, { revision, document: upstreamDocument(definition) });
  }
  return current;
}

/** Services first, so that upstreams find theirs. */
function inOrder(documents: readonly DefinitionDocument[]): DefinitionDocument[] {
  return [
    ...documents.filter((document) => document.kind === 'service'),
    ...documents.filter((document) => document.kind === 'upstream'),
  ];
}

function plan(
  documents: readonly DefinitionDocument[],
  current: ReadonlyMap<string, CurrentDeclaration>,
): PlannedChange[] {
  return inOrder(documents).map((document) => {
    const identity = identityOf(document);
    const before = current.get(identity) ?? null;
    const path = `/v1/${identity.replace('/', 's/')}`;
    const difference = differenceLines(before?.document ?? null, documentOf(document));
    return { identity, path, definition: document.definition, current: before, difference };
  });
}

function writeDifference(invocation: Invocation, changes: readonly PlannedChange[]): void {
  for (const { identity, current, difference } of changes) {
    const state = current === null ? 'new' : `revision ${current.revision}`;
    const lines = difference.length === 0 ? ['unchanged'] : difference;
    invocation.io.write(`${identity} (${state})\n${lines.map((line) => `  ${line}\n`).join('')}`);
  }
}

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
    expected: invocation.options.count('revision') ?? change.current?.revision ?? 0,
  });
  return reportChange(invocation, change.identity, body);
}

async function run(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const documents = positionals.flatMap((file) => loadDefinitions(file));
  if (options.text('revision') !== undefined && documents.length > 1) {
    throw new UsageError('--revision is for a file with one declaration');
  }
  const client = createClient(options, io);
  const changes = plan(documents, await readCurrent(client));
  if (options.on('dry-run')) {
    writeDifference(invocation, changes);
    return EXIT_CODES.ok;
  }
  const resent = options.text('request-id');
  const commandId = resent ?? randomUUID();
  let exitCode: ExitCode = EXIT_CODES.ok;
  for (const change of changes) {
    if (change.difference.length === 0 && resent === undefined) {
      io.write(`${change.identity}: unchanged\n`);
      continue;
    }
    const requestId = changes.length === 1 ? commandId : `${commandId}/${change.identity}`;
    const result = await send(invocation, client, change, { commandId, requestId });
    exitCode = result === EXIT_CODES.ok ? exitCode : result;
  }
  return exitCode;
}

export const serviceApply: CommandSpec = {
  name: 'service apply',
  arguments: '<...files>',
  summary: 'Make the services and upstreams that files declare the ones in force',
  options: [
    ...CHANGE_OPTIONS,
    REVISION_OPTION,
    { name: 'dry-run', summary: 'Show the difference and change nothing' },
  ],
  examples: ['service apply menu.yaml', 'service apply menu.yaml --dry-run'],
  run,
};
