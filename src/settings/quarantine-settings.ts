/** The settings `quarantine` of a control member: when a request under which upstreams ended is refused, and for how long. */
import { z } from 'zod';
import { DEFAULT_QUARANTINE_TERMS, type QuarantineTerms } from '../model/crash-suspect.js';
import { positiveDurationSchema } from './units.js';

/** Suspects that a snapshot for routers has room for. */
const MOST_REQUESTS = 10_000;

const countSchema = z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more');

export const quarantineSchema = z.strictObject({
  crashes: countSchema.optional(),
  keep: positiveDurationSchema.optional(),
  trial: positiveDurationSchema.optional(),
  requests: countSchema.max(MOST_REQUESTS, `must be ${MOST_REQUESTS} or less`).optional(),
});

export function completeQuarantine(fields: z.output<typeof quarantineSchema> = {}): QuarantineTerms {
  const defaults = DEFAULT_QUARANTINE_TERMS;
  return {
    crashes: fields.crashes ?? defaults.crashes,
    keepMillis: fields.keep ?? defaults.keepMillis,
    trialMillis: fields.trial ?? defaults.trialMillis,
    mostRequests: fields.requests ?? defaults.mostRequests,
  };
}
