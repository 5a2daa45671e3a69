/**
 * Files with operators' declarations: one or more YAML documents, each a map with `kind: service` or `kind: upstream`,
 * or a list of such maps.
 */
import type { ServiceDefinition, UpstreamDefinition } from '../model/service.js';
import { serviceSchema, upstreamSchema } from './definition-schemas.js';
import { SettingsError, type SettingsProblem } from './settings-error.js';
import { checkSource, parseYaml, readYaml, type ValuePath, type YamlSource } from './yaml-source.js';

/** Locates values within one declaration. */
export interface DeclarationPlaces {
  /** Returns a problem located at a path within the declaration. */
  readonly problemAt: (path: ValuePath, message: string) => SettingsProblem;
  /** Returns the line and column of a character of a text value. */
  readonly placeInText: YamlSource['placeInText'];
}

/** One declaration of a file. */
export type DefinitionDocument =
  | {
      readonly kind: 'service';
      readonly definition: ServiceDefinition;
      readonly places: DeclarationPlaces;
    }
  | {
      readonly kind: 'upstream';
      readonly definition: UpstreamDefinition;
      readonly places: DeclarationPlaces;
    };

function placesOf(source: YamlSource, base: ValuePath): DeclarationPlaces {
  return {
    problemAt: (path, message) => source.problemAt([...base, ...path], message),
    placeInText: (path, offset) => source.placeInText([...base, ...path], offset),
  };
}

function checkEntry(source: YamlSource, value: unknown, path: ValuePath): DefinitionDocument {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SettingsError([source.problemAt(path, 'expected a map with kind: service or kind: upstream')]);
  }
  const places = placesOf(source, path);
  const { kind, ...fields } = value as Record<string, unknown>;
  switch (kind) {
    case 'service':
      return { kind, definition: checkSource(source, serviceSchema, fields, path), places };
    case 'upstream':
      return { kind, definition: checkSource(source, upstreamSchema, fields, path), places };
    case undefined:
      throw new SettingsError([source.problemAt([...path, 'kind'], 'is missing (service or upstream)')]);
    default: {
      const message = `${JSON.stringify(kind)} is unknown; expected service or upstream`;
      throw new SettingsError([source.problemAt([...path, 'kind'], message)]);
    }
  }
}

/** Returns the entries of one document with their paths; an empty document has none. */
function entriesOf(source: YamlSource): { readonly value: unknown; readonly path: ValuePath }[] {
  if (Array.isArray(source.value)) {
    return source.value.map((value: unknown, index) => ({ value, path: [index] }));
  }
  return source.value === null ? [] : [{ value: source.value, path: [] }];
}

function identityOf(document: DefinitionDocument): string {
  return document.kind === 'service'
    ? `service ${document.definition.name}`
    : `upstream ${document.definition.id}`;
}

function checkAll(name: string, sources: readonly YamlSource[]): DefinitionDocument[] {
  const documents: DefinitionDocument[] = [];
  const problems: SettingsProblem[] = [];
  const identities = new Set<string>();
  for (const source of sources) {
    for (const { value, path } of entriesOf(source)) {
      try {
        const document = checkEntry(source, value, path);
        const identity = identityOf(document);
        if (identities.has(identity)) {
          problems.push(source.problemAt(path, `${identity} stands twice`));
        }
        identities.add(identity);
        documents.push(document);
      } catch (thrown) {
        if (!(thrown instanceof SettingsError)) {
          throw thrown;
        }
        problems.push(...thrown.problems);
      }
    }
  }
  if (problems.length > 0) {
    throw new SettingsError(problems);
  }
  if (documents.length === 0) {
    throw new SettingsError([{ source: name, path: '', message: 'contains no declarations' }]);
  }
  return documents;
}

/** Reads declarations from a file. Throws `SettingsError` if any of them is invalid. */
export function loadDefinitions(path: string): DefinitionDocument[] {
  return checkAll(path, readYaml(path));
}

/** Reads declarations from text; `name` is its source in error messages. Throws `SettingsError`. */
export function parseDefinitions(name: string, text: string): DefinitionDocument[] {
  return checkAll(name, parseYaml(name, text));
}
