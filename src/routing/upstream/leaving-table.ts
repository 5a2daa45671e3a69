/**
 * When an upstream counts as leaving. The operator's word is final. What this router saw itself comes next, while it is
 * fresh; the platform's list and health checks lag or mislead, so they are hints which age.
 */

/**
 * `usable`: pick freely. `suspect`: only if no usable one is left. `last-resort`: only if no suspect has a slot either.
 * `leaving`: no new work.
 */
export type Standing = 'usable' | 'suspect' | 'last-resort' | 'leaving';

/** A success of this router's own on an upstream speaks for it this long. */
export const FRESH_SUCCESS_MILLIS = 2000;
/** A refusal with `draining` speaks against it this long. */
export const FRESH_DRAINING_MILLIS = 5000;
/** A connection that failed speaks against it this long, unless a request succeeds meanwhile. */
export const FRESH_UNREACHABLE_MILLIS = 1000;
/** Each further one in a row speaks twice as long, up to this: one that is gone for good is tried ever more rarely. */
export const LONGEST_UNREACHABLE_MILLIS = 8000;
/** A hint of the platform or of a probe holds this long unless it is repeated. */
export const HINT_LIFETIME_MILLIS = 15_000;

/** The columns of the table. */
export interface StandingFacts {
  readonly operatorLeaving: boolean;
  /** Its address answered that another run is there: this one is over. */
  readonly hasEnded: boolean;
  /** Its own answers say that it leaves. */
  readonly saysLeaving: boolean;
  /** The upstream's own fence said `draining` lately, and nothing succeeded since. */
  readonly ownDraining: boolean;
  /** A request of this router's own succeeded lately. */
  readonly ownSuccess: boolean;
  /** A connection of this router's own failed lately, and nothing succeeded since. */
  readonly ownUnreachable: boolean;
  readonly platformLeaving: boolean;
  readonly probeUnhealthy: boolean;
}

/**
 * The table, first row that fits:
 *
 * | operator, ended, or its own answers | own draining | platform or probe against it | own success | own unreachable | standing |
 * | yes      | -            | -                            | -           | -               | leaving  |
 * | no       | yes          | -                            | -           | -               | leaving  |
 * | no       | no           | yes, the platform            | no          | -               | last-resort |
 * | no       | no           | yes, either                  | any other   | -               | suspect  |
 * | no       | no           | no                           | -           | yes             | suspect  |
 * | no       | no           | no                           | -           | no              | usable   |
 *
 * A suspect is avoided while others are usable, so its successes age and a true hint takes hold within seconds.
 * A hint alone never empties a service: if the platform says so of all upstreams, they go on serving, and one that
 * really leaves says so itself.
 */
export function standingOf(facts: StandingFacts): Standing {
  if (facts.operatorLeaving || facts.hasEnded || facts.saysLeaving || facts.ownDraining) {
    return 'leaving';
  }
  if (facts.platformLeaving && !facts.ownSuccess) {
    return 'last-resort';
  }
  const isDoubted = facts.platformLeaving || facts.probeUnhealthy || facts.ownUnreachable;
  return isDoubted ? 'suspect' : 'usable';
}

/** Evidence about one upstream, with its age. */
export class StandingEvidence {
  operatorLeaving = false;
  /** Its present run said that it leaves; no success ends that. */
  saysLeaving = false;
  private hasEnded = false;
  private successAt = Number.NEGATIVE_INFINITY;
  private drainingAt = Number.NEGATIVE_INFINITY;
  private unreachableAt = Number.NEGATIVE_INFINITY;
  private unreachableMillis = 0;
  private platformLeavingAt = Number.NEGATIVE_INFINITY;
  private unhealthyAt = Number.NEGATIVE_INFINITY;

  succeeded(now: number): void {
    this.successAt = now;
  }

  refusedAsDraining(now: number): void {
    this.drainingAt = now;
  }

  /** Proof, for upstreams whose every run has an id of its own. */
  runEnded(): void {
    this.hasEnded = true;
  }

  connectionFailed(now: number): void {
    const isFirst = this.successAt > this.unreachableAt || this.unreachableMillis === 0;
    const isNews = now - this.unreachableAt >= FRESH_UNREACHABLE_MILLIS;
    if (isFirst) {
      this.unreachableMillis = FRESH_UNREACHABLE_MILLIS;
    } else if (isNews) {
      // Attempts that failed together are one failure.
      this.unreachableMillis = Math.min(LONGEST_UNREACHABLE_MILLIS, this.unreachableMillis * 2);
    }
    this.unreachableAt = now;
  }

  platformSays(leaving: boolean, now: number): void {
    this.platformLeavingAt = leaving ? now : Number.NEGATIVE_INFINITY;
  }

  probeSays(healthy: boolean, now: number): void {
    this.unhealthyAt = healthy ? Number.NEGATIVE_INFINITY : now;
  }

  /** A new incarnation: what was seen of the one before says nothing about it. */
  forget(): void {
    this.hasEnded = false;
    this.successAt = Number.NEGATIVE_INFINITY;
    this.drainingAt = Number.NEGATIVE_INFINITY;
    this.unreachableAt = Number.NEGATIVE_INFINITY;
    this.unreachableMillis = 0;
    this.unhealthyAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether it gets nothing new because an operator, or it itself, said so. */
  get isToldLeaving(): boolean {
    return this.operatorLeaving || this.saysLeaving;
  }

  standing(now: number): Standing {
    return standingOf({
      operatorLeaving: this.operatorLeaving,
      hasEnded: this.hasEnded,
      saysLeaving: this.saysLeaving,
      ownDraining: now - this.drainingAt < FRESH_DRAINING_MILLIS && this.drainingAt >= this.successAt,
      ownSuccess: now - this.successAt < FRESH_SUCCESS_MILLIS,
      ownUnreachable:
        now - this.unreachableAt < this.unreachableMillis && this.unreachableAt >= this.successAt,
      platformLeaving: now - this.platformLeavingAt < HINT_LIFETIME_MILLIS,
      probeUnhealthy: now - this.unhealthyAt < HINT_LIFETIME_MILLIS,
    });
  }
}
