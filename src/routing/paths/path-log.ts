/** Log lines of what a router believes of its paths. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { Path, PathVerdict } from './path-check.js';
import type { PathOutcome } from './path-outcome.js';
import type { RunningCheck } from './running-checks.js';

type LogEffect = Extract<RouterEffect, { readonly type: 'log' }>;

/** A concluded check: what was seen where, and what follows from it. */
export function logOfCheck(
  { upstream, check, startedAt }: RunningCheck,
  { type }: PathVerdict,
  now: MonotonicMillis,
): LogEffect {
  const fields = {
    ...fieldsOf(upstream, now),
    path: nameOf(upstream.path.relay),
    verdict: type,
    thorough: check.isThorough,
    ...check.sightings,
    tookMillis: Math.round(now - startedAt),
  };
  return { type: 'log', level: 'info', event: 'path-checked', fields };
}

export interface ChangedPath {
  readonly upstream: UpstreamState;
  /** The path that was used until now. */
  readonly before: Path;
  readonly evidence: PathOutcome;
  /** Number of upstreams that are reached over relays now. */
  readonly relayed: number;
}

export function logOfChange(
  { upstream, before, evidence, relayed }: ChangedPath,
  now: MonotonicMillis,
): LogEffect {
  const fields = {
    ...fieldsOf(upstream, now),
    from: nameOf(before),
    to: nameOf(upstream.path.relay),
    evidence,
    relayed,
  };
  return { type: 'log', level: 'warn', event: 'path-changed', fields };
}

function fieldsOf({ id, service, heardAt }: UpstreamState, now: MonotonicMillis) {
  const heardAgoMillis = heardAt === null ? null : Math.round(now - heardAt);
  return { upstream: id, service, heardAgoMillis };
}

function nameOf(path: Path): string {
  return path?.router ?? 'direct';
}
