/**
 * Decides over which path each upstream is reached: the direct one, or another router's. A path is judged only after something was odd, and
 * before that is held against the upstream.
 */
import type { Address, MonotonicMillis, RouterId, UpstreamId, Zone } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import type { Random } from '../random.js';
import type { RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { DirectAnswers } from './direct-answers.js';
import { DirectReturns } from './direct-returns.js';
import { type Path, PathCheck, type PathVerdict } from './path-check.js';
import { logOfChange, logOfCheck } from './path-log.js';
import { PATH_OUTCOMES, type PathOutcome } from './path-outcome.js';
import { PathTries, type PathTryNumber } from './path-tries.js';
import { ReachBeliefs } from './reach-beliefs.js';
import { sampleOf } from './reach-sample.js';
import { RelayPeerTable } from './relay-peer-table.js';
import { type RunningCheck, RunningChecks, type VerdictListener } from './running-checks.js';
import type { UpstreamPath } from './upstream-path.js';

/** Why a relay couldn't be used. */
export type RelayFailure = 'lost' | 'busy' | 'closing' | 'no-path';

/** How long a relay that failed is left out. */
const AVOID_MILLIS: Readonly<Record<Exclude<RelayFailure, 'no-path'>, number>> = {
  lost: 1000,
  busy: 250,
  closing: 10_000,
};
/** Checks that run at the same time, beyond which only what callers wait for is checked. */
const MAX_CHECKS = 32;
/** After one path was found lost others are checked too, but not again within this time. */
const SAMPLE_INTERVAL_MILLIS = 2000;
/** Failures of an upstream that was found to be at fault itself aren't judged again for this long. */
const FAULT_MILLIS = 500;
/** An upstream that answered this recently shows that this router isn't cut off from all. */
const RECENT_ANSWER_MILLIS = 250;
/** A path that was found to work isn't checked again for this long. */
const WORKS_MILLIS = 1000;

/** Whether a router can carry connections to an upstream, and where to. */
export type RelayTarget =
  | { readonly type: 'address'; readonly address: Address }
  | { readonly type: 'unknown-upstream' }
  | { readonly type: 'no-path' };

/** Called when another path is used for an upstream; `before`: the path that was used until then. */
export type PathListener = (upstream: UpstreamState, before: Path, evidence: PathOutcome) => void;

export interface PathWatchParts {
  readonly ownZone: Zone;
  /** The region of each zone, as far as known. */
  readonly regions: Readonly<Record<Zone, string>>;
  readonly random: Random;
  readonly now: () => MonotonicMillis;
  readonly emit: (effect: RouterEffect) => void;
  /** Calls `onReturnTimer` at a time. */
  readonly scheduleReturn: (at: MonotonicMillis) => void;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamState>;
}

/** Why a path is judged. */
export interface PathDoubt {
  /** What was just seen on the path in use; `null`: it is tried first. */
  readonly seen: PathOutcome | null;
  /** Whether a request is accused if the upstream has ended, so that as many peers are asked as may be. */
  readonly accuses?: boolean;
}

/** A doubt without any evidence yet. */
export const UNSEEN: PathDoubt = { seen: null };

export class PathWatch {
  readonly peers: RelayPeerTable;
  readonly #parts: PathWatchParts;
  readonly #tries: PathTries;
  readonly #returns: DirectReturns;
  readonly #beliefs = new ReachBeliefs();
  readonly #answers = new DirectAnswers();
  readonly #checks: RunningChecks;
  readonly #outOfReach = new Set<UpstreamState>();
  #sampledAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #listener: PathListener = () => {};

  constructor(parts: PathWatchParts) {
    this.#parts = parts;
    this.peers = new RelayPeerTable(parts.ownZone, parts.regions);
    this.#tries = new PathTries(parts.emit);
    this.#checks = new RunningChecks({
      tries: this.#tries,
      tried: (upstream, path, outcome) => this.#recordPeer(path, upstream, outcome),
      concluded: (running, verdict) => this.#conclude(running, verdict),
    });
    this.#returns = new DirectReturns({
      now: parts.now,
      schedule: parts.scheduleReturn,
      tries: this.#tries,
      tried: (upstream, outcome) => this.#triedReturn(upstream, outcome),
    });
  }

  /** Sets who is told of changed paths. */
  onPathChange(listener: PathListener): void {
    this.#listener = listener;
  }

  /** Number of upstreams that are reached through other routers. */
  get relayedCount(): number {
    return this.#returns.relayed.size;
  }

  /** Number of routers that carry connections for this one. */
  get relayCount(): number {
    return new Set([...this.#returns.relayed].map(({ path }) => path.relay?.router)).size;
  }

  /** Whether any upstream may be out of reach. */
  get isAnyOutOfReach(): boolean {
    return this.#outOfReach.size > 0;
  }

  /** Whether a router that asks for it can be connected to an upstream. */
  relayTargetOf(id: UpstreamId): RelayTarget {
    const upstream = this.#parts.upstreams.get(id);
    if (upstream === undefined) {
      return { type: 'unknown-upstream' };
    }
    return upstream.path.relay === null
      ? { type: 'address', address: upstream.record.definition.address }
      : { type: 'no-path' };
  }

  /** The path for a request that is sent now. What is like upstreams whose paths are lost goes another way at once. */
  pathFor(upstream: UpstreamState): Path {
    this.leaveAssumedLost(upstream);
    return upstream.path.relay;
  }

  /** Leaves the direct path if those to upstreams like this one are lost; returns whether it did. */
  leaveAssumedLost(upstream: UpstreamState): boolean {
    const now = this.#parts.now();
    if (upstream.path.relay !== null || !this.#beliefs.isAssumed(upstream, 'lost-path', now)) {
      return false;
    }
    const [peer] = this.peers.inOrderFor(upstream, now);
    if (peer === undefined) {
      return false;
    }
    this.#use(upstream, peer, PATH_OUTCOMES.silent);
    return true;
  }

  /** Judges the path to an upstream; `done` is called once, at once where no other path can be tried. */
  judge(upstream: UpstreamState, { seen, accuses = false }: PathDoubt, done: VerdictListener): void {
    if (this.#checks.join(upstream.id, accuses, done)) {
      return;
    }
    const { path } = upstream;
    const now = this.#parts.now();
    const wasEnded = path.wasEndedAt(now);
    const others = this.#otherPaths(upstream, now, wasEnded);
    const fault = faultAt(path, now, accuses);
    if (others.length === 0 || fault !== null) {
      done(fault ?? { type: 'unknown' });
      return;
    }
    const [first] = others;
    const check = new PathCheck(path.relay, others, seen, {
      isFirstSighted: first != null && this.peers.isSighted(first.router, upstream, now),
      isAssumedLost: () => this.#beliefs.isAssumed(upstream, 'lost-path', this.#parts.now()),
      hasHeardOthers: () => this.hasHeardOthers(upstream, this.#parts.now() - RECENT_ANSWER_MILLIS),
      wasEnded,
    });
    if (accuses) {
      check.makeThorough();
    }
    this.#checks.begin({ upstream, check, startedAt: now, listeners: [done] });
  }

  /** Whether a path that seems quiet should be checked now. */
  isCheckDue({ id, path }: UpstreamState): boolean {
    const now = this.#parts.now();
    const hasVerdict = now < path.workedAt + WORKS_MILLIS || faultAt(path, now, false) !== null;
    return this.peers.size > 0 && !this.#checks.has(id) && !hasVerdict;
  }

  /** Whether nothing comes back from an upstream over any path, as far as this router knows. It is looked for again meanwhile. */
  isOutOfReach(upstream: UpstreamState): boolean {
    const now = this.#parts.now();
    if (!upstream.isOutOfReach && this.#beliefs.isAssumed(upstream, 'out-of-reach', now)) {
      this.#markOutOfReach(upstream, now);
    }
    if (upstream.isOutOfReach) {
      this.#lookFor(upstream);
    }
    return upstream.isOutOfReach;
  }

  /** Handles the outcome of a `try-path` effect. */
  tried(number: PathTryNumber, outcome: PathOutcome): void {
    this.#tries.end(number, outcome);
  }

  /** Records that an upstream was heard over its direct path. */
  heardDirectly(upstream: UpstreamState): void {
    this.#beliefs.recordReached(upstream);
    this.#answers.record(upstream, this.#parts.now());
  }

  /** Whether other upstreams were heard over their direct paths since a time, and no path is known to be lost. */
  hasHeardOthers(than: UpstreamState, since: MonotonicMillis): boolean {
    const isAnyLost = this.relayedCount > 0 || this.isAnyOutOfReach;
    return !isAnyLost && this.#answers.hasHeardOthers(than, since);
  }

  /** Records that an upstream was heard over a relay. */
  heardOver(relay: RelayPeer, upstream: UpstreamState): void {
    this.peers.recordSight(relay.router, upstream, true, this.#parts.now());
  }

  /** Handles that a relay has no path to an upstream itself. */
  relayHasNoPath(relay: RelayPeer, upstream: UpstreamState): void {
    this.peers.recordSight(relay.router, upstream, false, this.#parts.now());
  }

  /** Handles the failure of a relay that carries connections for this router, and moves its upstreams to other relays. */
  relayFailed(router: RouterId, failure: Exclude<RelayFailure, 'no-path'>): void {
    const now = this.#parts.now();
    this.peers.avoid(router, now + AVOID_MILLIS[failure]);
    for (const upstream of [...this.#returns.relayed]) {
      if (upstream.path.relay?.router !== router) {
        continue;
      }
      const [next] = this.peers.inOrderFor(upstream, now);
      if (next !== undefined) {
        this.#use(upstream, next, PATH_OUTCOMES.noRelay);
      } else {
        this.#closePath(upstream, router);
      }
    }
  }

  /** Tries a direct path again. */
  onReturnTimer(): void {
    this.#returns.onTimer();
  }

  /** Forgets an upstream that is gone. */
  remove(upstream: UpstreamState): void {
    this.#returns.delete(upstream);
    this.#outOfReach.delete(upstream);
    this.#checks.cancel(upstream);
  }

  /** `isInTurn`: each time another peer comes first. */
  #otherPaths(upstream: UpstreamState, now: MonotonicMillis, isInTurn: boolean): Path[] {
    const { relay } = upstream.path;
    const peers = this.peers.inOrderFor(upstream, now).filter(({ router }) => router !== relay?.router);
    const first = isInTurn && peers.length > 0 ? this.#parts.random.below(peers.length) : 0;
    const ordered = [...peers.slice(first), ...peers.slice(0, first)];
    return relay === null ? ordered : [null, ...ordered];
  }

  #recordPeer(path: Path, upstream: UpstreamState, outcome: PathOutcome): void {
    const isSighted = outcome === PATH_OUTCOMES.reached;
    if (path !== null && (isSighted || outcome === PATH_OUTCOMES.noRelay)) {
      this.peers.recordSight(path.router, upstream, isSighted, this.#parts.now());
    }
  }

  #conclude(running: RunningCheck, verdict: PathVerdict): void {
    const { upstream, startedAt, check } = running;
    const now = this.#parts.now();
    const wasHeard = (upstream.heardAt ?? Number.NEGATIVE_INFINITY) > startedAt;
    this.#parts.emit(logOfCheck(running, verdict, now));
    if (verdict.type === 'ended' || verdict.type === 'unreachable') {
      const { isThorough } = check;
      upstream.path.upstreamFault = { verdict, isThorough, until: now + FAULT_MILLIS };
    }
    if (verdict.type === 'unreachable' && !wasHeard) {
      this.#beliefs.recordFailure(upstream, 'out-of-reach', now);
      this.#markOutOfReach(upstream, now);
      this.#checkSample(upstream, now);
    } else {
      this.#foundAgain(upstream);
    }
    if (verdict.type === 'works') {
      this.#foundWorking(upstream, now);
    } else if (verdict.type === 'other-path') {
      this.#leave(upstream, verdict.path, verdict.evidence);
    }
  }

  #foundWorking(upstream: UpstreamState, now: MonotonicMillis): void {
    upstream.path.workedAt = now;
    if (upstream.path.relay === null) {
      this.#beliefs.recordReached(upstream);
    }
  }

  #markOutOfReach(upstream: UpstreamState, now: MonotonicMillis): void {
    upstream.path.outOfReachAt = now;
    this.#outOfReach.add(upstream);
    this.#parts.emit({ type: 'recall-unsent', upstream: upstream.id });
  }

  /** Where one upstream is in reach again, others may be so too. */
  #foundAgain(upstream: UpstreamState): void {
    upstream.path.outOfReachAt = null;
    if (this.#outOfReach.delete(upstream)) {
      this.#beliefs.recordReached(upstream);
      for (const other of this.#outOfReach) {
        other.path.upstreamFault = null;
        this.#lookFor(other);
      }
    }
  }

  #lookFor(upstream: UpstreamState): void {
    if (this.#checks.size < MAX_CHECKS && this.isCheckDue(upstream)) {
      this.judge(upstream, UNSEEN, () => {});
    }
  }

  /** Takes another path; where the direct one is news, others are checked too. */
  #leave(upstream: UpstreamState, path: Path, evidence: PathOutcome): void {
    const now = this.#parts.now();
    const wasDirect = upstream.path.relay === null;
    const isNews = wasDirect && !this.#beliefs.isAssumed(upstream, 'lost-path', now);
    this.#use(upstream, path, evidence);
    if (wasDirect) {
      this.#beliefs.recordFailure(upstream, 'lost-path', now);
    }
    if (isNews) {
      this.#checkSample(upstream, now);
    }
  }

  #use(upstream: UpstreamState, path: Path, evidence: PathOutcome): void {
    const now = this.#parts.now();
    const before = upstream.path.relay;
    upstream.path.use(path, now);
    upstream.path.workedAt = now;
    if (path === null) {
      this.#returns.delete(upstream);
    } else {
      this.#returns.add(upstream);
    }
    if (before === null) {
      upstream.forgetFailuresSince(upstream.heardAt ?? Number.NEGATIVE_INFINITY);
    }
    const relayed = this.relayedCount;
    this.#parts.emit(logOfChange({ upstream, before, evidence, relayed }, now));
    this.#closePath(upstream, before?.router ?? null);
    this.#parts.emit({ type: 'recall-unsent', upstream: upstream.id });
    this.#listener(upstream, before, evidence);
  }

  #closePath(upstream: UpstreamState, via: RouterId | null): void {
    this.#parts.emit({ type: 'close-path', address: upstream.record.definition.address, via });
  }

  /** Checks a few other upstreams after one was out of direct reach, to learn what is lost with it. */
  #checkSample(first: UpstreamState, now: MonotonicMillis): void {
    if (now < this.#sampledAt + SAMPLE_INTERVAL_MILLIS) {
      return;
    }
    this.#sampledAt = now;
    const { upstreams, random } = this.#parts;
    for (const upstream of sampleOf(upstreams.values(), first, random, now)) {
      this.#lookFor(upstream);
    }
  }

  #triedReturn(upstream: UpstreamState, outcome: PathOutcome): void {
    const now = this.#parts.now();
    if (outcome !== PATH_OUTCOMES.reached) {
      this.#beliefs.recordFailure(upstream, 'lost-path', now);
      return;
    }
    this.#beliefs.recordReached(upstream);
    this.#use(upstream, null, outcome);
    this.#returns.tryOthers();
  }
}

function faultAt(
  { upstreamFault }: UpstreamPath,
  now: MonotonicMillis,
  isThorough: boolean,
): PathVerdict | null {
  const isKnown = upstreamFault !== null && now < upstreamFault.until;
  return isKnown && (upstreamFault.isThorough || !isThorough) ? upstreamFault.verdict : null;
}
