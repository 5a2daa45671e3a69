/** Upstreams that report a constraint in their answers. The constraint is redrawn once and ends some time later. */
import type { Random } from '../random.js';
import type { World } from '../world.js';
import type { SimUpstream } from './sim-upstream.js';

/** Constraint that an upstream reports in the head of each answer; `null`: no limit or no back-off. */
export interface UpstreamConstraint {
  readonly limitPerSecond: number | null;
  /** Back-off that it requests while it rejects every request. */
  readonly restMillis: number | null;
  /** Whether it is draining, which it reports until its run ends. */
  readonly isLeaving: boolean;
}

export const NO_CONSTRAINT: UpstreamConstraint = { limitPerSecond: null, restMillis: null, isLeaving: false };

/** Duration of a constraint, and the share of it after which the constraint changes. */
const DURATION_MILLIS = [5000, 9000] as const;
const CHANGE_AT_SHARE = 0.6;
const LIMIT_PER_SECOND = [0.2, 1.5] as const;
const BACKOFF_MILLIS = [1500, 4000] as const;

/** Draws of the possible constraints. */
const CONSTRAINT_DRAWS: readonly ((random: Random) => UpstreamConstraint)[] = [
  (random) => ({ ...NO_CONSTRAINT, limitPerSecond: random.between(...LIMIT_PER_SECOND) }),
  (random) => ({ ...NO_CONSTRAINT, restMillis: random.between(...BACKOFF_MILLIS) }),
  () => ({ ...NO_CONSTRAINT, isLeaving: true }),
];

/** Begins one constraint, drawn from its own random stream. */
export function beginConstraint(world: World, random: Random): void {
  const candidates = world.upstreams.filter(
    ({ state, constraint }) => state === 'running' && constraint === NO_CONSTRAINT,
  );
  if (candidates.length === 0) {
    return;
  }
  const upstream = random.pick(candidates);
  // An upstream with keys reports in its session that it is draining.
  const draw = random.pick(
    upstream.service.definition.keyed ? CONSTRAINT_DRAWS.slice(0, -1) : CONSTRAINT_DRAWS,
  );
  const durationMillis = random.between(...DURATION_MILLIS);
  const { run } = upstream;
  // The constraint ends with its run.
  const setConstraint = (constraint: UpstreamConstraint): void => {
    upstream.constraint = upstream.run === run ? constraint : upstream.constraint;
  };
  world.recorder.count('upstream in need');
  setConstraint(draw(random));
  world.time.after(durationMillis * CHANGE_AT_SHARE, () => setConstraint(draw(random)));
  world.time.after(durationMillis, () =>
    upstream.constraint.isLeaving ? endRun(upstream, run) : setConstraint(NO_CONSTRAINT),
  );
}

/** Restarts an upstream that reported that it is draining; its next run reports no constraint. */
function endRun(upstream: SimUpstream, run: number): void {
  if (upstream.run === run) {
    upstream.crash();
    upstream.start();
  }
}
