/**
 * Bounds on the shape of values from outside. They are walked without recursion, so the result is the same on every member, whatever
 * the size of its stack.
 */
import { fail } from './field-checks.js';

export interface ShapeLimits {
  /** Lists and objects inside one another. */
  readonly depth: number;
  /** Values of all kinds, lists and objects included. */
  readonly values: number;
}

/** Bounds on what is sent; far above any document that is of use. */
export const SENT_LIMITS: ShapeLimits = { depth: 64, values: 4_000_000 };
/**
 * Bounds on what entries of the log hold. Earlier releases had none but the size of their stack, on which they failed at 3,200 lists or 3,800
 * objects inside one another. How much a stack holds differs between machines, so what is kept of such entries is written without recursion.
 */
export const APPLIED_LIMITS: ShapeLimits = { depth: 3800, values: Number.POSITIVE_INFINITY };

/** Steps of a path that an error message names. */
const MAX_SHOWN_STEPS = 4;

/** A list or object on the way to the value that is examined. */
interface Level {
  readonly value: object;
  /** Names of its fields; `null` for a list. */
  readonly names: readonly string[] | null;
  readonly length: number;
  /** Position of the next value in it. */
  next: number;
}

/** Throws an `InvalidDefinitionError` that names the place if a value exceeds a limit. */
export function checkShape(place: string, value: unknown, { depth, values }: ShapeLimits): void {
  const levels: Level[] = [];
  let count = 1;
  enter(levels, value);
  for (let level = levels.at(-1); level !== undefined; level = levels.at(-1)) {
    if (level.next >= level.length) {
      levels.pop();
      continue;
    }
    const item = valueAt(level);
    level.next += 1;
    count += 1;
    if (count > values) {
      fail(pathTo(place, levels), `must not hold more than ${values} values in all`);
    }
    enter(levels, item);
    if (levels.length > depth) {
      fail(pathTo(place, levels), `must not be nested deeper than ${depth} levels`);
    }
  }
}

function enter(levels: Level[], value: unknown): void {
  if (value === null || typeof value !== 'object') {
    return;
  }
  const names = Array.isArray(value) ? null : Object.keys(value);
  const length = names === null ? (value as readonly unknown[]).length : names.length;
  levels.push({ value, names, length, next: 0 });
}

function valueAt({ value, names, next }: Level): unknown {
  const step = names === null ? next : (names[next] as string);
  return (value as Readonly<Record<string | number, unknown>>)[step];
}

function pathTo(place: string, levels: readonly Level[]): string {
  const steps = levels.filter(({ next }) => next > 0).map(({ names, next }) => stepOf(names, next - 1));
  const isCut = steps.length > MAX_SHOWN_STEPS;
  return `${place}${steps.slice(0, MAX_SHOWN_STEPS).join('')}${isCut ? '…' : ''}`;
}

function stepOf(names: readonly string[] | null, position: number): string {
  return names === null ? `[${position}]` : `.${names[position]}`;
}
