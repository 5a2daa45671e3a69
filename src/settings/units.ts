/** Durations and sizes: a number with a mandatory unit. */
import { z } from 'zod';
import { ownEntry } from '../text/own-entry.js';

const MILLIS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};
const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  kB: 1000,
  KB: 1000,
  KiB: 1024,
  MB: 1_000_000,
  MiB: 1024 ** 2,
  GB: 1_000_000_000,
  GiB: 1024 ** 3,
};
const QUANTITY_PATTERN = /^(\d+(?:\.\d+)?)\s*([A-Za-z]*)$/;

/** The parsed value, or why the text is invalid. */
type QuantityResult = { readonly value: number } | { readonly problem: string };

function parseQuantity(
  text: unknown,
  units: Readonly<Record<string, number>>,
  kind: string,
  example: string,
): QuantityResult {
  const match = QUANTITY_PATTERN.exec(String(text));
  const known = Object.keys(units).join(', ');
  if (match === null) {
    return { problem: `${JSON.stringify(text)} isn't a ${kind}; write e.g. ${example}` };
  }
  const [, number = '', unit = ''] = match;
  if (unit === '') {
    return { problem: `${kind} ${number} has no unit; write e.g. ${example} (units: ${known})` };
  }
  const factor = ownEntry(units, unit);
  if (factor === undefined) {
    return { problem: `${kind} ${JSON.stringify(text)} has an unknown unit (units: ${known})` };
  }
  return { value: Number(number) * factor };
}

/** Parses a duration such as `1500ms`, `2s` or `5m`. */
export function parseDuration(text: unknown): QuantityResult {
  return parseQuantity(text, MILLIS_PER_UNIT, 'duration', '1500ms, 2s or 5m');
}

/** Parses a size such as `64KiB` or `1MB`. */
export function parseSize(text: unknown): QuantityResult {
  const result = parseQuantity(text, BYTES_PER_UNIT, 'size', '64KiB or 1MB');
  if ('value' in result && !Number.isInteger(result.value)) {
    return { problem: `size ${JSON.stringify(text)} isn't a whole number of bytes` };
  }
  return result;
}

function quantitySchema(parse: (text: unknown) => QuantityResult) {
  return z
    .union([z.string(), z.number()], { error: 'expected a number with its unit' })
    .transform((text, context) => {
      const result = parse(text);
      if ('problem' in result) {
        context.addIssue({ code: 'custom', message: result.problem });
        return z.NEVER;
      }
      return result.value;
    });
}

/** A duration with its unit, converted to milliseconds. */
export const durationSchema = quantitySchema(parseDuration);

/** A size with its unit, converted to bytes. */
export const sizeSchema = quantitySchema(parseSize);

/** A duration above 0, converted to milliseconds. */
export const positiveDurationSchema = durationSchema.refine((millis) => millis > 0, 'must be longer than 0');
