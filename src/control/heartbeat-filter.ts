/**
 * Detects heartbeats with changes that the registry lacks, and late ones, which arrive after a later heartbeat of their run or after
 * the first heartbeat of a later run with the same id. Most heartbeats change nothing and need no log entry.
 */
import type { MonotonicMillis, UpstreamId, WallMillis } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type { Registry } from '../registry/types.js';

/** A cold upstream whose remaining warm-up exceeds the expected one by more than this has turned cold again; less is clock error. */
const COLD_RESTART_MARGIN_MILLIS = 250;
/** Entries of removed upstreams are deleted once the entries outnumber the upstreams by more than this. */
const MAX_STALE_ENTRIES = 64;

/** The latest heartbeat of an upstream at this member. */
interface LatestHeartbeat {
  readonly born: WallMillis | null;
  /** `null`: the heartbeat had none. */
  readonly sequence: number | null;
  readonly warmupMillis: number;
  readonly at: MonotonicMillis;
}

export class HeartbeatFilter {
  readonly #latest = new Map<UpstreamId, LatestHeartbeat>();

  constructor(private readonly registry: () => Registry) {}

  /** Whether a heartbeat was delayed and is out of date. */
  isLate({ id, announced }: UpstreamDefinition, sequence: number | null): boolean {
    const latest = this.#latest.get(id);
    const known = this.registry().upstreams().get(id)?.definition.announced?.born;
    const born = announced?.born ?? null;
    if (born !== null && born < Math.max(latest?.born ?? born, known ?? born)) {
      return true;
    }
    const isSameRun = latest !== undefined && latest.born === born;
    return isSameRun && sequence !== null && latest.sequence !== null && sequence < latest.sequence;
  }

  /** Whether a heartbeat contains a change that has to be committed. */
  hasUpdate(definition: UpstreamDefinition, now: MonotonicMillis): boolean {
    const { id, announced, leaving } = definition;
    const registry = this.registry();
    if (registry.isDeparted(id, announced?.born)) {
      return false;
    }
    const known = registry.upstreams().get(id)?.definition;
    if (known === undefined) {
      return true;
    }
    const isNextRun = (announced?.born ?? 0) > (known.announced?.born ?? 0);
    return isNextRun || (leaving && !known.leaving) || this.#hasWarmthChanged(definition, known, now);
  }

  /** Records a heartbeat that isn't late. A `sequence` of `null` keeps the last sequence number of the run. */
  record({ id, announced }: UpstreamDefinition, sequence: number | null, now: MonotonicMillis): void {
    const { born = null, warmupMillis = 0 } = announced ?? {};
    const before = this.#latest.get(id);
    const known = before?.born === born ? before.sequence : null;
    this.#latest.set(id, { born, sequence: sequence ?? known, warmupMillis, at: now });
    const upstreams = this.registry().upstreams();
    if (this.#latest.size > upstreams.size + MAX_STALE_ENTRIES) {
      for (const upstream of this.#latest.keys()) {
        if (!upstreams.has(upstream)) {
          this.#latest.delete(upstream);
        }
      }
    }
  }

  /** Warm-up matters only for a service that declares the capacity of its upstreams while they are cold. */
  #hasWarmthChanged(
    { id, announced }: UpstreamDefinition,
    known: UpstreamDefinition,
    now: MonotonicMillis,
  ): boolean {
    if (this.registry().services().get(known.service)?.definition.warmup === undefined) {
      return false;
    }
    const reportedMillis = announced?.warmupMillis ?? 0;
    const isKnownCold = (known.announced?.warmupMillis ?? 0) > 0;
    if (reportedMillis === 0 || !isKnownCold) {
      return reportedMillis > 0 !== isKnownCold;
    }
    const latest = this.#latest.get(id);
    const expected = latest === undefined ? reportedMillis : latest.warmupMillis - (now - latest.at);
    return reportedMillis > expected + COLD_RESTART_MARGIN_MILLIS;
  }
}
