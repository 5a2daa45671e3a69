/**
 * The JSON text of a value that may be nested deeper than the stack of a member allows. Written without recursion: how deep a stack reaches differs
 * between machines, and all members must agree on what they can write of an entry of the log.
 */

/** A list or object whose text is being written. */
interface Level {
  readonly value: object;
  /** Names of its fields in order; `null` for a list. */
  readonly names: readonly string[] | null;
  readonly length: number;
  /** Position of the next value in it. */
  next: number;
}

/** Names of the fields of an object that have a JSON value, in the order in which they are written. */
type FieldOrder = (value: Fields) => string[];
type Fields = Readonly<Record<string, unknown>>;

/** The text with the keys of each object sorted, so that equal values have equal text. */
export function canonicalJson(value: unknown): string {
  return write(value, sortedNames);
}

/** The text that `JSON.stringify` writes, but for values that say themselves how they are written. */
export function deepJson(value: unknown): string {
  return write(value, presentNames);
}

function write(value: unknown, order: FieldOrder): string {
  const pieces: string[] = [];
  const levels: Level[] = [];
  begin(value, pieces, levels, order);
  for (let level = levels.at(-1); level !== undefined; level = levels.at(-1)) {
    if (level.next >= level.length) {
      pieces.push(level.names === null ? ']' : '}');
      levels.pop();
      continue;
    }
    writeNext(level, pieces, levels, order);
  }
  return pieces.join('');
}

function writeNext(level: Level, pieces: string[], levels: Level[], order: FieldOrder): void {
  const { value, names, next } = level;
  level.next += 1;
  if (next > 0) {
    pieces.push(',');
  }
  const name = names === null ? next : (names[next] as string);
  if (names !== null) {
    pieces.push(JSON.stringify(name), ':');
  }
  begin((value as Readonly<Record<string | number, unknown>>)[name], pieces, levels, order);
}

/** Writes a plain value, or the beginning of a list or object. */
function begin(value: unknown, pieces: string[], levels: Level[], order: FieldOrder): void {
  if (value === null || typeof value !== 'object') {
    pieces.push(JSON.stringify(value) ?? 'null');
    return;
  }
  const names = Array.isArray(value) ? null : order(value as Fields);
  const length = names === null ? (value as readonly unknown[]).length : names.length;
  pieces.push(names === null ? '[' : '{');
  levels.push({ value, names, length, next: 0 });
}

function presentNames(value: Fields): string[] {
  return Object.keys(value).filter((name) => JSON_TYPES.has(typeof value[name]));
}

/** Sorts as an object with sorted fields lists them: whole numbers come first. */
function sortedNames(value: Fields): string[] {
  const sorted = presentNames(value).sort((one, other) => (one < other ? -1 : 1));
  return Object.keys(Object.fromEntries(sorted.map((name) => [name, null])));
}

const JSON_TYPES: ReadonlySet<string> = new Set(['string', 'number', 'boolean', 'object']);
