/** Compares the declarations of files with those in force and validates them as a whole before anything is sent. */
import type { Revision } from '../model/identifiers.js';
import { createRegistry, type OperatorCommand } from '../registry/index.js';
import type { DefinitionDocument } from '../settings/definition-documents.js';
import { type DocumentMap, serviceDocument, upstreamDocument } from '../settings/definition-writer.js';
import { findPolicyProblems } from '../settings/policy-problems.js';
import { SettingsError, type SettingsProblem } from '../settings/settings-error.js';
import type { ServicesBody, UpstreamsBody } from './api-types.js';
import type { ControlClient } from './control-client.js';
import { differenceLines } from './difference.js';

/** The declarations in force. */
export interface CurrentDeclarations {
  readonly services: ServicesBody['services'];
  readonly upstreams: UpstreamsBody['upstreams'];
}

/** One declaration of a file, with the one in force. */
export interface PlannedChange {
  /** `service/name` or `upstream/id`. */
  readonly identity: string;
  /** Path in the operators' API. */
  readonly path: string;
  readonly definition: DefinitionDocument['definition'];
  /** The declaration in force; `null` if there is none. */
  readonly before: DocumentMap | null;
  /** Current revision; 0 if it doesn't exist. */
  readonly revision: Revision;
  readonly after: DocumentMap;
  readonly difference: readonly string[];
}

const TRIAL_ACTOR = 'trial';
const PATH_PATTERN = /^([A-Za-z]\w*(?:\[\d+\]|\.\w+)*): (.*)$/s;

/** Reads all declarations in force. */
export async function readCurrent(client: ControlClient): Promise<CurrentDeclarations> {
  const { services } = await client.read<ServicesBody>('/v1/services');
  const { upstreams } = await client.read<UpstreamsBody>('/v1/upstreams');
  return { services, upstreams };
}

/** Sorts services first, since upstreams refer to them. */
function servicesFirst(documents: readonly DefinitionDocument[]): DefinitionDocument[] {
  return [
    ...documents.filter((document) => document.kind === 'service'),
    ...documents.filter((document) => document.kind === 'upstream'),
  ];
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

function currentStateOf(
  document: DefinitionDocument,
  current: CurrentDeclarations,
): Pick<PlannedChange, 'before' | 'revision'> {
  if (document.kind === 'service') {
    const { name } = document.definition;
    const record = current.services.find(({ definition }) => definition.name === name);
    return record === undefined
      ? { before: null, revision: 0 }
      : { before: serviceDocument(record.definition), revision: record.revision };
  }
  const { id } = document.definition;
  const record = current.upstreams.find(({ definition }) => definition.id === id);
  return record === undefined
    ? { before: null, revision: 0 }
    : { before: upstreamDocument(record.definition), revision: record.revision };
}

/** Returns the change for each declaration, in sending order. */
export function planChanges(
  documents: readonly DefinitionDocument[],
  current: CurrentDeclarations,
): PlannedChange[] {
  return servicesFirst(documents).map((document) => {
    const identity = identityOf(document);
    const { before, revision } = currentStateOf(document, current);
    const path = `/v1/${identity.replace('/', 's/')}`;
    const after = documentOf(document);
    const difference = differenceLines(before, after);
    return { identity, path, definition: document.definition, before, revision, after, difference };
  });
}

function commandOf(document: DefinitionDocument): OperatorCommand {
  return document.kind === 'service'
    ? { type: 'service-apply', definition: document.definition, expected: null }
    : { type: 'upstream-apply', definition: document.definition, expected: null };
}

function parsePath(place: string): (string | number)[] {
  const steps = place.match(/\w+/g) ?? [];
  return steps.map((step) => (/^\d+$/.test(step) ? Number(step) : step));
}

/** Locates a problem in the file: the registry's messages start with the path of the invalid value. */
function problemOf(document: DefinitionDocument, message: string): SettingsProblem {
  const [, place, rest] = PATH_PATTERN.exec(message) ?? [];
  return place === undefined || rest === undefined
    ? document.places.problemAt([], message)
    : document.places.problemAt(parsePath(place), rest);
}

/** Returns the problems of policies that don't compile, with line and column. */
export function findDocumentProblems(documents: readonly DefinitionDocument[]): SettingsProblem[] {
  return documents.flatMap((document) =>
    document.kind === 'service'
      ? findPolicyProblems(document.definition.policy, document.places, ['policy'])
      : [],
  );
}

/**
 * Applies the changes to a local registry filled with the declarations in force, so that a declaration that would be
 * refused is found before the first one is sent. Throws `SettingsError`.
 */
export function checkDeclarations(
  documents: readonly DefinitionDocument[],
  current: CurrentDeclarations,
): void {
  const registry = createRegistry();
  const apply = (command: OperatorCommand) =>
    registry.apply(registry.revision + 1, { requestId: null, actor: TRIAL_ACTOR, at: 0, command }).result;
  for (const { definition } of current.services) {
    apply({ type: 'service-apply', definition, expected: null });
  }
  for (const { definition } of current.upstreams) {
    apply({ type: 'upstream-apply', definition, expected: null });
  }
  const problems = findDocumentProblems(documents);
  for (const document of servicesFirst(documents)) {
    const result = apply(commandOf(document));
    if (result.type === 'invalid') {
      problems.push(problemOf(document, result.message));
    }
  }
  if (problems.length > 0) {
    throw new SettingsError(problems);
  }
}
