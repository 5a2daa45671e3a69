/** Reads YAML and checks it against a schema; each problem is reported with the location of the value in the file. */
import { readFileSync } from 'node:fs';
import {
  type Document,
  isMap,
  isNode,
  isPair,
  isScalar,
  LineCounter,
  type Node,
  parseAllDocuments,
} from 'yaml';
import type { z } from 'zod';
import { toError } from '../errors/ternmount-error.js';
import { SettingsError, type SettingsProblem } from './settings-error.js';

/** Keys and indexes from the root of a document to a value. */
export type ValuePath = readonly PropertyKey[];

/** One document of a YAML file, with the locations of its values. */
export class YamlSource {
  readonly name: string;
  readonly value: unknown;
  readonly #document: Document.Parsed | undefined;
  readonly #lines: LineCounter;
  readonly #text: string;

  constructor(name: string, document: Document.Parsed | undefined, lines: LineCounter, text: string) {
    this.name = name;
    this.#document = document;
    this.#lines = lines;
    this.#text = text;
    this.value = document?.toJS() ?? null;
  }

  /** Returns a problem located at a path, or at its nearest existing ancestor; with `key`, at that key of the map at `path`. */
  problemAt(path: ValuePath, message: string, key?: string): SettingsProblem {
    const node = this.#keyNode(path, key) ?? this.#nearestNode(path);
    const offset = node?.range?.[0] ?? 0;
    const { line, col } = this.#lines.linePos(offset);
    const full = key === undefined ? path : [...path, key];
    return {
      source: this.name,
      path: formatPath(full),
      message,
      line: Math.max(line, 1),
      column: Math.max(col, 1),
    };
  }

  /**
   * Returns the location of a character of a text value; line and column start at 1. For folded and escaped texts, whose
   * lines and columns differ from the file's, it is the start of the text.
   */
  placeInText(path: ValuePath, offset: number): { readonly line: number; readonly column: number } {
    const node = this.#nearestNode(path);
    const start = this.#lines.linePos(node?.range?.[0] ?? 0);
    const place = { line: Math.max(start.line, 1), column: Math.max(start.col, 1) };
    if (!isScalar(node) || typeof node.value !== 'string') {
      return place;
    }
    const before = node.value.slice(0, offset).split('\n');
    const column = (before.at(-1) ?? '').length;
    if (node.type === 'BLOCK_LITERAL') {
      const line = place.line + before.length;
      return { line, column: this.#indentOf(place.line + 1) + column + 1 };
    }
    const opening = node.type === 'PLAIN' ? 0 : 1;
    const first = (node.range?.[0] ?? 0) + opening;
    const isVerbatim = this.#text.startsWith(node.value, first);
    return isVerbatim && before.length === 1
      ? { line: place.line, column: place.column + opening + column }
      : place;
  }

  /** Returns the number of spaces at the start of a line of the file. */
  #indentOf(line: number): number {
    const start = this.#lines.lineStarts[line - 1] ?? this.#text.length;
    return /^ */.exec(this.#text.slice(start))?.[0].length ?? 0;
  }

  #keyNode(path: ValuePath, key: string | undefined): Node | undefined {
    const map = key === undefined ? undefined : this.#nodeAt(path);
    if (!isMap(map)) {
      return undefined;
    }
    const pair = map.items.find((item) => isPair(item) && isScalar(item.key) && item.key.value === key);
    return isNode(pair?.key) ? pair.key : undefined;
  }

  #nearestNode(path: ValuePath): Node | undefined {
    for (let length = path.length; length >= 0; length -= 1) {
      const node = this.#nodeAt(path.slice(0, length));
      if (node !== undefined) {
        return node;
      }
    }
    return undefined;
  }

  #nodeAt(path: ValuePath): Node | undefined {
    const node = path.length === 0 ? this.#document?.contents : this.#document?.getIn(path, true);
    return isNode(node) ? node : undefined;
  }
}

/** Formats a path, e.g. as `services[2].deadline`. */
export function formatPath(path: ValuePath): string {
  return path
    .map((step, index) => {
      if (typeof step === 'number') {
        return `[${step}]`;
      }
      return index === 0 ? String(step) : `.${String(step)}`;
    })
    .join('');
}

/** Parses YAML text with one or more documents. Throws `SettingsError` on a syntax error. */
export function parseYaml(name: string, text: string): YamlSource[] {
  const lines = new LineCounter();
  const documents = parseAllDocuments(text, { lineCounter: lines, prettyErrors: false });
  const parsed = Array.isArray(documents) ? documents : [];
  for (const document of parsed) {
    const [error] = document.errors;
    if (error !== undefined) {
      const { line, col } = lines.linePos(error.pos[0]);
      throw new SettingsError([{ source: name, path: '', message: error.message, line, column: col }], error);
    }
  }
  return parsed.length === 0
    ? [new YamlSource(name, undefined, lines, text)]
    : parsed.map((document) => resolveSource(name, document, lines, text));
}

/** Resolves aliases and tags, which may fail although the syntax is correct. */
function resolveSource(
  name: string,
  document: Document.Parsed,
  lines: LineCounter,
  text: string,
): YamlSource {
  try {
    return new YamlSource(name, document, lines, text);
  } catch (thrown) {
    const error = toError(thrown);
    throw new SettingsError([{ source: name, path: '', message: error.message }], error);
  }
}

/** Reads a YAML file. Throws `SettingsError` if it can't be read or isn't YAML. */
export function readYaml(path: string): YamlSource[] {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (thrown) {
    const error = toError(thrown) as NodeJS.ErrnoException;
    const reason =
      error.code === 'ENOENT' ? 'no such file' : `can't be read (${error.code ?? error.message})`;
    throw new SettingsError([{ source: path, path: '', message: reason, mayPass: true }], error);
  }
  checkWhole(path, text);
  return parseYaml(path, text);
}

/** A first line that announces the last one, so that a part of the file isn't taken for the whole. */
const ANNOUNCED_END = /^# ends with: (.*)/;

function checkWhole(path: string, text: string): void {
  const end = ANNOUNCED_END.exec(text)?.[1]?.trim();
  const lastLine = text.trimEnd().split('\n').at(-1)?.trim();
  if (end !== undefined && lastLine !== end) {
    const message = `is cut short: its last line isn't ${JSON.stringify(end)}, which its first line announces`;
    throw new SettingsError([{ source: path, path: '', message, mayPass: true }]);
  }
}

/** Describes a schema violation in one clause. */
export function describeIssue(issue: z.core.$ZodIssue, input: unknown): string {
  if (issue.code === 'invalid_type' && input === undefined) {
    return `is missing (expected ${issue.expected})`;
  }
  return input === undefined && issue.code === 'invalid_union' ? 'is missing' : issue.message;
}

/** Returns the value at a path, or `undefined`. */
export function valueAt(root: unknown, path: ValuePath): unknown {
  return path.reduce<unknown>(
    (value, step) =>
      typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[step] : undefined,
    root,
  );
}

/** Locates a problem by the path of a value, and the key of the map there if the key itself is invalid. */
export type LocateProblem = (path: ValuePath, message: string, key?: string) => SettingsProblem;

/** Converts schema violations of `input` to problems with their locations. */
export function locateIssues(
  issues: readonly z.core.$ZodIssue[],
  input: unknown,
  locate: LocateProblem,
): SettingsProblem[] {
  return issues.flatMap((issue): SettingsProblem[] => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => locate(issue.path, 'unknown key', key));
    }
    return [locate(issue.path, describeIssue(issue, valueAt(input, issue.path)))];
  });
}

/** Checks a value of `source` against a schema. Throws `SettingsError` with the location of each problem. */
export function checkSource<Output>(
  source: YamlSource,
  schema: z.ZodType<Output>,
  value: unknown = source.value,
  base: ValuePath = [],
): Output {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const locate: LocateProblem = (path, message, key) => source.problemAt([...base, ...path], message, key);
  throw new SettingsError(locateIssues(result.error.issues, value, locate));
}
