/** Validation of single fields. Failures throw `InvalidDefinitionError`, which `applyCommand` turns into an `invalid` result. */
import { RegistryError } from '../errors.js';

/** A definition is invalid; the message starts with the path of the field, e.g. `keyspaces[0].shards`. */
export class InvalidDefinitionError extends RegistryError {
  constructor(place: string, problem: string) {
    super({ code: 'TERNMOUNT_REGISTRY_INVALID', retriable: false }, `${place}: ${problem}`);
  }
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

export function fail(place: string, problem: string): never {
  throw new InvalidDefinitionError(place, problem);
}

/** Checks a name that can be part of a shard id. */
export function checkName(place: string, value: unknown): string {
  if (typeof value !== 'string' || !NAME_PATTERN.test(value)) {
    fail(
      place,
      'must be 1 to 63 letters, digits, dots, underscores or hyphens, and start with a letter or digit',
    );
  }
  return value;
}

/** Checks text of at most `maxLength` characters. */
export function checkText(place: string, value: unknown, maxLength: number): string {
  if (typeof value !== 'string' || value.length > maxLength) {
    fail(place, `must be text of at most ${maxLength} characters`);
  }
  return value;
}

/** Checks text of 1 to `maxLength` characters. */
export function checkNonEmptyText(place: string, value: unknown, maxLength: number): string {
  const text = checkText(place, value, maxLength);
  return text === '' ? fail(place, 'must not be empty') : text;
}

export function checkBoolean(place: string, value: unknown): boolean {
  return typeof value === 'boolean' ? value : fail(place, 'must be true or false');
}

/** Checks a number from `min` to `max`, both included. */
export function checkNumber(place: string, value: unknown, min: number, max: number): number {
  if (typeof value !== 'number' || !(value >= min && value <= max)) {
    fail(place, `must be a number from ${min} to ${max}`);
  }
  return value;
}

/** Checks an integer from `min` to `max`, both included. */
export function checkInteger(place: string, value: unknown, min: number, max: number): number {
  if (!Number.isInteger(value)) {
    fail(place, `must be a whole number from ${min} to ${max}`);
  }
  return checkNumber(place, value, min, max);
}

export function checkChoice<Choice extends string>(
  place: string,
  value: unknown,
  choices: readonly Choice[],
): Choice {
  const choice = choices.find((candidate) => candidate === value);
  return choice ?? fail(place, `must be one of ${choices.join(', ')}`);
}

/** Checks a list of at most `maxItems` items; the items themselves remain unchecked. */
export function checkList(place: string, value: unknown, maxItems: number): readonly unknown[] {
  if (!Array.isArray(value) || value.length > maxItems) {
    fail(place, `must be a list of at most ${maxItems}`);
  }
  return value;
}

/** Checks for an object; its fields remain unchecked. */
export function checkObject(place: string, value: unknown): Readonly<Record<string, unknown>> {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    fail(place, 'must be an object');
  }
  return value as Readonly<Record<string, unknown>>;
}

/** Fails if two texts are equal; the error message describes them as `what`. */
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
