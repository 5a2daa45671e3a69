/** The `quarantine` settings of a control member: when a request that crashed upstreams is refused, and for how long. */
import { z } from 'zod';
import { DEFAULT_QUARANTINE_SETTINGS, type QuarantineSettings } from '../model/crash-suspect.js';
import { positiveDurationSchema } from './units.js';

/** Maximum number of suspects that fits into a snapshot for routers. */
const MAX_REQUESTS = 10_000;

const countSchema = z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more');

export const quarantineSchema = z.strictObject({
  crashes: countSchema.optional(),
  keep: positiveDurationSchema.optional(),
  trial: positiveDurationSchema.optional(),
  requests: countSchema.max(MAX_REQUESTS, `must be ${MAX_REQUESTS} or less`).optional(),
});

export function completeQuarantine(fields: z.output<typeof quarantineSchema> = {}): QuarantineSettings {
  const defaults = DEFAULT_QUARANTINE_SETTINGS;
  return {
    crashes: fields.crashes ?? defaults.crashes,
    keepMillis: fields.keep ?? defaults.keepMillis,
    trialMillis: fields.trial ?? defaults.trialMillis,
    mostRequests: fields.requests ?? defaults.mostRequests,
  };
}
