/** Checks of single fields. They throw `InvalidDefinitionError`, which `apply` turns into an `invalid` result. */
import { RegistryError } from '../errors.js';

/** A definition that operators must mend; the message starts with the place, e.g. `keyspaces[0].shards`. */
export class InvalidDefinitionError extends RegistryError {
  constructor(place: string, problem: string) {
    super({ code: 'TERNMOUNT_REGISTRY_INVALID', retriable: false }, `${place}: ${problem}`);
  }
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Refuses a definition. */
export function fail(place: string, problem: string): never {
  throw new InvalidDefinitionError(place, problem);
}

/** A name that may stand in the id of a shard. */
export function checkName(place: string, value: unknown): string {
  if (typeof value !== 'string' || !NAME_PATTERN.test(value)) {
    fail(
      place,
      'must be 1 to 63 letters, digits, dots, underscores or hyphens, and start with a letter or digit',
    );
  }
  return value;
}

/** Text of `longest` characters at most. */
export function checkText(place: string, value: unknown, maxLength: number): string {
  if (typeof value !== 'string' || value.length > maxLength) {
    fail(place, `must be text of at most ${maxLength} characters`);
  }
  return value;
}

/** The same, and not empty. */
export function checkNonEmptyText(place: string, value: unknown, maxLength: number): string {
  const text = checkText(place, value, maxLength);
  return text === '' ? fail(place, 'must not be empty') : text;
}

/** `true` or `false`. */
export function checkBoolean(place: string, value: unknown): boolean {
  return typeof value === 'boolean' ? value : fail(place, 'must be true or false');
}

/** A number from `least` to `most`. */
export function checkNumber(place: string, value: unknown, min: number, max: number): number {
  if (typeof value !== 'number' || !(value >= min && value <= max)) {
    fail(place, `must be a number from ${min} to ${max}`);
  }
  return value;
}

/** A whole number from `least` to `most`. */
export function checkInteger(place: string, value: unknown, min: number, max: number): number {
  if (!Number.isInteger(value)) {
    fail(place, `must be a whole number from ${min} to ${max}`);
  }
  return checkNumber(place, value, min, max);
}

/** One of the choices. */
export function checkChoice<Choice extends string>(
  place: string,
  value: unknown,
  choices: readonly Choice[],
): Choice {
  const choice = choices.find((candidate) => candidate === value);
  return choice ?? fail(place, `must be one of ${choices.join(', ')}`);
}

/** A list of `longest` items at most; the items are still to be checked. */
export function checkList(place: string, value: unknown, maxItems: number): readonly unknown[] {
  if (!Array.isArray(value) || value.length > maxItems) {
    fail(place, `must be a list of at most ${maxItems}`);
  }
  return value;
}

/** An object whose fields are still to be checked. */
export function checkObject(place: string, value: unknown): Readonly<Record<string, unknown>> {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    fail(place, 'must be an object');
  }
  return value as Readonly<Record<string, unknown>>;
}

/** Fails if two items give the same text. */
export function checkDistinct(place: string, texts: readonly string[], what: string): void {
  const seen = new Map<string, number>();
  for (const [position, text] of texts.entries()) {
    const earlier = seen.get(text);
    if (earlier !== undefined) {
      fail(`${place}[${position}]`, `has the same ${what} as ${place}[${earlier}]`);
    }
    seen.set(text, position);
  }
}
