/**
 * Decides over which path each upstream is reached: the direct one, or another router's. A path is judged only after something was odd, and
 * before that is held against the upstream.
 */
import type { MonotonicMillis, RouterId, UpstreamId } from '../../model/identifiers.js';
import type { Random } from '../random.js';
import type { RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { LossEpisode } from './loss-episode.js';
import { type Path, PathCheck, type PathCheckStep, type PathVerdict } from './path-check.js';
import { PATH_OUTCOMES, type PathOutcome } from './path-outcome.js';
import { RelayPeerTable } from './relay-peer-table.js';
import type { UpstreamPath } from './upstream-path.js';

/** Number of one try of a path within one run of a router. */
export type PathTryNumber = number;

/** Why a relay couldn't be used. */
export type RelayFailure = 'lost' | 'busy' | 'closing' | 'no-path';

/** How long a relay that failed is left out. */
const AVOID_MILLIS: Readonly<Record<RelayFailure, number>> = {
  lost: 1000,
  busy: 250,
  closing: 10_000,
  'no-path': 0,
};
/** Interval at which one direct path is tried while some are lost. */
const RETURN_INTERVAL_MILLIS = 200;
/** Paths that are checked at the same time after one was found lost, or one came back. */
const MAX_SWEEP_CHECKS = 32;
/** What a request under way counts for in the order of checks. */
const IN_FLIGHT_WEIGHT = 10;
/** An upstream that was heard this recently is not checked only because the paths to others are lost. */
const RECENTLY_HEARD_MILLIS = 100;
/** Failures of an upstream that was found to be at fault itself aren't judged again for this long. */
const FAULT_MILLIS = 500;
/** A path that was found to work isn't checked again for this long. */
const WORKS_MILLIS = 1000;

/** Whether a router can carry connections to an upstream, and where to. */
export type RelayTarget =
  | { readonly type: 'address'; readonly address: string }
  | { readonly type: 'unknown-upstream' }
  | { readonly type: 'no-path' };

/** Called when another path is used for an upstream; `before`: the path that was used until then. */
export type PathListener = (upstream: UpstreamState, before: Path, evidence: PathOutcome) => void;

export interface PathWatchParts {
  readonly ownZone: string;
  readonly random: Random;
  readonly now: () => MonotonicMillis;
  readonly emit: (effect: RouterEffect) => void;
  readonly schedule: (at: MonotonicMillis, subject: { readonly type: 'path-return' }) => unknown;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamState>;
}

interface RunningCheck {
  readonly upstream: UpstreamState;
  readonly check: PathCheck;
  readonly listeners: ((verdict: PathVerdict) => void)[];
  readonly startedAt: MonotonicMillis;
}

interface OpenTry {
  readonly upstream: UpstreamState;
  readonly path: Path;
  /** `null`: the direct path is tried in order to return to it. */
  readonly running: RunningCheck | null;
}

export class PathWatch {
  readonly peers: RelayPeerTable;
  readonly #parts: PathWatchParts;
  readonly #checks = new Map<UpstreamId, RunningCheck>();
  readonly #tries = new Map<PathTryNumber, OpenTry>();
  #latestTry: PathTryNumber = 0;
  /** Upstreams that are reached through other routers, in the order in which their direct paths are tried. */
  readonly #relayed = new Set<UpstreamState>();
  readonly #returning = new Set<UpstreamState>();
  readonly #outOfReach = new Set<UpstreamState>();
  #episode: LossEpisode | null = null;
  #isReturnScheduled = false;
  #listener: PathListener = () => {};

  constructor(parts: PathWatchParts) {
    this.#parts = parts;
    this.peers = new RelayPeerTable(parts.ownZone);
  }

  /** Sets who is told of changed paths. */
  onPathChange(listener: PathListener): void {
    this.#listener = listener;
  }

  /** Number of upstreams that are reached through other routers. */
  get relayedCount(): number {
    return this.#relayed.size;
  }

  /** Number of routers that carry connections for this one. */
  get relayCount(): number {
    return new Set([...this.#relayed].map(({ path }) => path.relay?.router)).size;
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

  /**
   * Judges the path to an upstream; `done` is called once, at once where no other path can be tried. `seen`: what was just seen on the path
   * in use, `null`: it is tried first.
   */
  judge(upstream: UpstreamState, seen: PathOutcome | null, done: (verdict: PathVerdict) => void): void {
    const running = this.#checks.get(upstream.id);
    if (running !== undefined) {
      running.listeners.push(done);
      return;
    }
    const { path } = upstream;
    const now = this.#parts.now();
    const others = this.#otherPaths(upstream, now);
    const fault = faultAt(path, now);
    if (others.length === 0 || fault !== null) {
      done(fault ?? { type: 'unknown' });
      return;
    }
    const [first] = others;
    const isTrusted = first != null && this.peers.isSighted(first.router, now);
    const check = new PathCheck(path.relay, others, seen, isTrusted);
    const started: RunningCheck = { upstream, check, listeners: [done], startedAt: now };
    this.#checks.set(upstream.id, started);
    this.#follow(started, check.begin());
  }

  /** Whether a path that seems quiet should be checked now. */
  isCheckDue({ id, path }: UpstreamState): boolean {
    const now = this.#parts.now();
    const hasVerdict = now < path.workedAt + WORKS_MILLIS || faultAt(path, now) !== null;
    return this.peers.size > 0 && !this.#checks.has(id) && !hasVerdict;
  }

  /** Handles the outcome of a `try-path` effect. */
  tried(number: PathTryNumber, outcome: PathOutcome): void {
    const open = this.#tries.get(number);
    this.#tries.delete(number);
    if (open === undefined) {
      return;
    }
    const { upstream, path, running } = open;
    this.#recordPeer(path, outcome);
    if (running === null) {
      this.#triedReturn(upstream, outcome);
    } else if (this.#checks.get(upstream.id) === running) {
      this.#follow(running, running.check.tried(path, outcome));
    }
  }

  /** Handles the failure of a relay that carries connections for this router, and moves its upstreams to other relays. */
  relayFailed(router: RouterId, failure: RelayFailure): void {
    const now = this.#parts.now();
    if (AVOID_MILLIS[failure] === 0) {
      return;
    }
    this.peers.avoid(router, now + AVOID_MILLIS[failure]);
    for (const upstream of [...this.#relayed].filter(({ path }) => path.relay?.router === router)) {
      const [next] = this.peers.inOrderFor(upstream, now);
      if (next !== undefined) {
        this.#use(upstream, next, PATH_OUTCOMES.noRelay);
      } else {
        this.#closePath(upstream, router);
      }
    }
  }

  /** Tries direct paths again. */
  tryReturns(): void {
    this.#isReturnScheduled = false;
    const now = this.#parts.now();
    const next = [...this.#relayed].find(
      (upstream) => upstream.path.mayReturn(now) && !this.#returning.has(upstream),
    );
    if (next !== undefined) {
      // To the end of the order, so that each has its turn.
      this.#relayed.delete(next);
      this.#relayed.add(next);
      this.#tryReturn(next);
    }
    this.#scheduleReturn();
  }

  /** Forgets an upstream that is gone. */
  remove(upstream: UpstreamState): void {
    this.#relayed.delete(upstream);
    this.#returning.delete(upstream);
    this.#outOfReach.delete(upstream);
    const running = this.#checks.get(upstream.id);
    if (running?.upstream === upstream) {
      this.#checks.delete(upstream.id);
      this.#tell(running, { type: 'unknown' });
    }
  }

  #otherPaths(upstream: UpstreamState, now: MonotonicMillis): Path[] {
    const { relay } = upstream.path;
    const peers = this.peers.inOrderFor(upstream, now).filter(({ router }) => router !== relay?.router);
    return relay === null ? peers : [null, ...peers];
  }

  #follow(running: RunningCheck, { tries, verdict }: PathCheckStep): void {
    for (const path of tries) {
      this.#try(running.upstream, path, running);
    }
    if (verdict !== null) {
      this.#checks.delete(running.upstream.id);
      this.#conclude(running, verdict);
    }
  }

  #conclude(running: RunningCheck, verdict: PathVerdict): void {
    const { upstream } = running;
    const now = this.#parts.now();
    if (verdict.type === 'works') {
      upstream.path.workedAt = now;
    }
    if (verdict.type === 'ended' || verdict.type === 'unreachable') {
      upstream.path.upstreamFault = { verdict, until: now + FAULT_MILLIS };
    }
    this.#setReach(running, verdict, now);
    if (verdict.type === 'other-path') {
      this.#use(upstream, verdict.path, verdict.evidence);
    }
    this.#episode?.record(verdict);
    this.#tell(running, verdict);
    this.#continueEpisode();
  }

  /** Something that was heard during the check outweighs its verdict. */
  #setReach({ upstream, startedAt }: RunningCheck, { type }: PathVerdict, now: MonotonicMillis): void {
    if (type === 'unreachable' && (upstream.heardAt ?? startedAt) <= startedAt) {
      this.#markOutOfReach(upstream, now);
      this.#beginEpisode(upstream, now);
    } else if (this.#outOfReach.delete(upstream)) {
      upstream.path.outOfReachAt = null;
      this.#checkOthersOutOfReach();
    }
  }

  /** Where one upstream is in reach again, others may be so too. */
  #checkOthersOutOfReach(): void {
    for (const other of this.#outOfReach) {
      other.path.upstreamFault = null;
      this.checkReach(other);
    }
  }

  #markOutOfReach(upstream: UpstreamState, now: MonotonicMillis): void {
    upstream.path.outOfReachAt = now;
    this.#outOfReach.add(upstream);
    this.#parts.emit({ type: 'recall-unsent', upstream: upstream.id });
  }

  /** Whether any upstream may be out of reach. */
  get isAnyOutOfReach(): boolean {
    return this.#outOfReach.size > 0;
  }

  /** Checks again whether an upstream that was out of reach still is. */
  checkReach(upstream: UpstreamState): void {
    if (this.#checks.size < MAX_SWEEP_CHECKS && this.isCheckDue(upstream)) {
      this.judge(upstream, null, () => {});
    }
  }

  #tell({ listeners }: RunningCheck, verdict: PathVerdict): void {
    for (const listener of listeners) {
      listener(verdict);
    }
  }

  #try(upstream: UpstreamState, path: Path, running: RunningCheck | null): void {
    this.#latestTry += 1;
    this.#tries.set(this.#latestTry, { upstream, path, running });
    const { address } = upstream.record.definition;
    this.#parts.emit({
      type: 'try-path',
      number: this.#latestTry,
      upstream: upstream.id,
      address,
      via: path,
    });
  }

  /** A peer that reached an upstream sees; one that failed where another one succeeds may be blind. */
  #recordPeer(path: Path, outcome: PathOutcome): void {
    if (path === null) {
      return;
    }
    const now = this.#parts.now();
    if (outcome === PATH_OUTCOMES.reached) {
      this.peers.recordSight(path.router, true, now);
    } else if (outcome === PATH_OUTCOMES.noRelay) {
      this.peers.recordSight(path.router, false, now);
    }
  }

  #use(upstream: UpstreamState, path: Path, evidence: PathOutcome): void {
    const now = this.#parts.now();
    const before = upstream.path.relay;
    const quietSince = upstream.heardAt;
    upstream.path.use(path, now);
    upstream.path.workedAt = now;
    if (path === null) {
      this.#relayed.delete(upstream);
    } else {
      this.#relayed.add(upstream);
    }
    if (before === null) {
      upstream.forgetFailuresSince(quietSince ?? Number.NEGATIVE_INFINITY);
      this.#beginEpisode(upstream, now);
    }
    this.#log(upstream, before, evidence);
    this.#closePath(upstream, before?.router ?? null);
    this.#parts.emit({ type: 'recall-unsent', upstream: upstream.id });
    this.#listener(upstream, before, evidence);
    this.#scheduleReturn();
  }

  #closePath(upstream: UpstreamState, via: RouterId | null): void {
    this.#parts.emit({ type: 'close-path', address: upstream.record.definition.address, via });
  }

  #log(upstream: UpstreamState, before: Path, evidence: PathOutcome): void {
    const { path, heardAt, id, service } = upstream;
    const fields = {
      upstream: id,
      service,
      from: before?.router ?? 'direct',
      to: path.relay?.router ?? 'direct',
      evidence,
      heardAgoMillis: heardAt === null ? null : Math.round(this.#parts.now() - heardAt),
      relayed: this.#relayed.size,
    };
    this.#parts.emit({ type: 'log', level: 'warn', event: 'path-changed', fields });
  }

  #beginEpisode(first: UpstreamState, now: MonotonicMillis): void {
    if (this.#episode !== null && !this.#episode.isOver(now)) {
      return;
    }
    const isCandidate = (upstream: UpstreamState): boolean =>
      upstream !== first &&
      upstream.path.relay === null &&
      now - (upstream.heardAt ?? Number.NEGATIVE_INFINITY) >= RECENTLY_HEARD_MILLIS;
    // Where requests are under way callers are waiting; what is alike is often lost together.
    const orderOf = (upstream: UpstreamState): number =>
      upstream.inFlight * IN_FLIGHT_WEIGHT + (isAlike(upstream, first) ? 1 : 0) + this.#parts.random.share();
    const candidates = [...this.#parts.upstreams.values()]
      .filter(isCandidate)
      .map((upstream) => ({ upstream, order: orderOf(upstream) }))
      .sort((one, other) => other.order - one.order)
      .map(({ upstream }) => upstream);
    this.#episode = new LossEpisode(candidates, now);
  }

  /** Checks further upstreams after one was out of direct reach; once it is clear that all are, without a check of each. */
  #continueEpisode(): void {
    const episode = this.#episode;
    const now = this.#parts.now();
    if (episode === null || episode.isOver(now)) {
      return;
    }
    const common = episode.common(this.#lastHeardAt(), now);
    if (common !== null) {
      this.#assume(common, episode.takeAll(), now);
      return;
    }
    while (this.#checks.size < MAX_SWEEP_CHECKS) {
      const next = episode.takeNext();
      if (next === undefined) {
        return;
      }
      if (next.path.relay === null && this.#parts.upstreams.get(next.id) === next) {
        this.judge(next, null, () => {});
      }
    }
  }

  #assume(
    common: 'other-path' | 'unreachable',
    upstreams: readonly UpstreamState[],
    now: MonotonicMillis,
  ): void {
    for (const upstream of upstreams) {
      const isThere = this.#parts.upstreams.get(upstream.id) === upstream;
      const [peer] = this.peers.inOrderFor(upstream, now);
      if (!isThere || upstream.path.relay !== null) {
        continue;
      }
      if (common === 'unreachable') {
        this.#markOutOfReach(upstream, now);
      } else if (peer !== undefined) {
        this.#use(upstream, peer, PATH_OUTCOMES.silent);
      }
    }
  }

  /** When something was last heard of any upstream over its direct path. */
  #lastHeardAt(): MonotonicMillis {
    let latest = Number.NEGATIVE_INFINITY;
    for (const { path, heardAt } of this.#parts.upstreams.values()) {
      latest = path.relay === null ? Math.max(latest, heardAt ?? latest) : latest;
    }
    return latest;
  }

  #tryReturn(upstream: UpstreamState): void {
    this.#returning.add(upstream);
    this.#try(upstream, null, null);
  }

  #triedReturn(upstream: UpstreamState, outcome: PathOutcome): void {
    this.#returning.delete(upstream);
    if (outcome !== PATH_OUTCOMES.reached || upstream.path.relay === null) {
      return;
    }
    this.#use(upstream, null, outcome);
    const now = this.#parts.now();
    for (const other of this.#relayed) {
      if (this.#returning.size >= MAX_SWEEP_CHECKS) {
        return;
      }
      if (other.path.mayReturn(now) && !this.#returning.has(other)) {
        this.#tryReturn(other);
      }
    }
  }

  #scheduleReturn(): void {
    if (!this.#isReturnScheduled && this.#relayed.size > 0) {
      this.#isReturnScheduled = true;
      this.#parts.schedule(this.#parts.now() + RETURN_INTERVAL_MILLIS, { type: 'path-return' });
    }
  }
}

function isAlike(one: UpstreamState, other: UpstreamState): boolean {
  return one.service === other.service || one.zone === other.zone;
}

function faultAt({ upstreamFault }: UpstreamPath, now: MonotonicMillis): PathVerdict | null {
  return upstreamFault !== null && now < upstreamFault.until ? upstreamFault.verdict : null;
}
