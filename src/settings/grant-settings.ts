/** The `grants` settings of a control member: timings of grants to self-announced upstreams, and the protocol for calls to these. */
import { z } from 'zod';
import { DEFAULT_RANGE_TIMINGS, type RangeTimings } from '../lease/range-timings.js';
import { DEFAULT_HOLDER_PROTOCOL, type HolderProtocol } from '../model/holder-protocol.js';
import { checkAtMostHalf, clockRateErrorSchema, headerNameSchema, urlPathSchema } from './common-schemas.js';
import { durationSchema, positiveDurationSchema } from './units.js';

export const grantsSchema = z.strictObject({
  hold: positiveDurationSchema.optional(),
  renew: positiveDurationSchema.optional(),
  late: durationSchema.optional(),
  clockRateError: clockRateErrorSchema.optional(),
  heartbeat: positiveDurationSchema.optional(),
  grantPath: urlPathSchema.optional(),
  releasePath: urlPathSchema.optional(),
  handoverHeader: headerNameSchema.optional(),
  instanceHeader: headerNameSchema.optional(),
  identityHeader: headerNameSchema.optional(),
});
type GrantFields = z.output<typeof grantsSchema>;

export function completeRangeTimings(fields: GrantFields = {}): RangeTimings {
  const defaults = DEFAULT_RANGE_TIMINGS;
  return {
    holdMillis: fields.hold ?? defaults.holdMillis,
    renewMillis: fields.renew ?? defaults.renewMillis,
    lateMillis: fields.late ?? defaults.lateMillis,
    clockRateError: fields.clockRateError ?? defaults.clockRateError,
    heartbeatMillis: fields.heartbeat ?? defaults.heartbeatMillis,
  };
}

export function completeHolderProtocol(fields: GrantFields = {}): HolderProtocol {
  const { grantPath, releasePath, handoverHeader, instanceHeader, identityHeader } = fields;
  const defaults = DEFAULT_HOLDER_PROTOCOL;
  return {
    grantPath: grantPath ?? defaults.grantPath,
    releasePath: releasePath ?? defaults.releasePath,
    handoverHeader: handoverHeader ?? defaults.handoverHeader,
    instanceHeader: instanceHeader ?? defaults.instanceHeader,
    identityHeader: identityHeader ?? defaults.identityHeader,
  };
}

/** Checks that a grant can be renewed twice before it expires. */
export function checkGrants(fields: GrantFields = {}, context: z.RefinementCtx): void {
  const { renewMillis, holdMillis } = completeRangeTimings(fields);
  const renew = { name: 'renew', millis: renewMillis };
  checkAtMostHalf(renew, { name: 'hold', millis: holdMillis }, ['grants'], context);
}
