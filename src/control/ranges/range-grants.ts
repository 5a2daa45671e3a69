/**
 * Schedules the grants of owned ranges: the first as soon as the owner is decided, then renewals with the heartbeats of the owner. Grants
 * are stored by the first key of their range and wait in queues, so that the cost of a renewal does not depend on the number of ranges.
 */
import { DeadlineQueue } from '../../lease/deadline-queue.js';
import type { RangeTimings } from '../../lease/range-timings.js';
import { longestHoldMillis } from '../../lease/timed-grants.js';
import type { Epoch, MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { findRange, type KeyRange } from '../../model/key-range.js';

/** Delay before a grant is retried that got no response or could not be sent. */
const RETRY_MILLIS = 150;

/**
 * Maximum number of renewals sent at once, and the time to the next batch. Responses arrive together as the calls
 * were sent. When each response started as many further calls, a leader with 2,500 renewals a second was 0.26 s late
 * for its heartbeats at 0.54 processor use (modelled, 0.2 ms a call). The limit is 1,333 renewals a second, 0.28 to
 * 0.57 of a core at 0.21 to 0.43 ms a call (measured over loopback at 900 and at 400 calls a second). Further due
 * renewals wait: 6,000 ranges take 4.5 s.
 */
const MAX_BATCH_RENEWALS = 16;
const RENEWAL_BATCH_GAP_MILLIS = 12;

/** Number of grants of an earlier leader, the latest ones, that are renewed at once. */
const IMMEDIATE_RENEWALS = 12;

/** A heartbeat renews what is due up to this share of a heartbeat interval later, so that each grant goes out with the nearest one. */
const EARLY_HEARTBEATS = 0.5;
/**
 * Renewals follow a heartbeat within this share of an interval, most of them at once: upstreams that started together send their heartbeats
 * together. The exponent keeps the mean at a fifth of it, since an upstream may end in between.
 */
const SPREAD_HEARTBEATS = 0.2;
const SPREAD_EXPONENT = 4;
/** Multiples of the golden ratio, without their whole part, are evenly spread. */
const SPREAD_STEP = 0.618_034;
/** A grant that has been due for this share of a hold can't wait any longer for a heartbeat. */
const URGENT_HOLD_SHARE = 0.3;

/** A grant and the state of its calls. */
export interface GrantState {
  /** The range as in the registry: same keys, owner and fence. */
  range: KeyRange;
  /** Time from which the next call is wanted; meaningless while a call is open. */
  dueAt: MonotonicMillis;
  isPending: boolean;
  /** Whether the grant was accepted before. */
  isRenewal: boolean;
  /** Whether the grant was sent before, answered or not. */
  wasSent: boolean;
  /** Whether the upstream has seen a higher fence, which ends this grant. */
  isSuperseded: boolean;
  /** Time of the first call, since the last answered one, whose acceptance is unknown; `null` if there is none. */
  unansweredSince: MonotonicMillis | null;
  /**
   * Whether the grant is no longer sent: its last accepted hold has expired, and each further call may be accepted
   * late. Otherwise an upstream whose heartbeats arrive but which leaves its calls unanswered would keep its keys,
   * and serve none of them, for as long as that lasts.
   */
  isAbandoned: boolean;
  handover: string | null;
}

export class RangeGrants {
  /** Grants by the first key of their range. */
  readonly #grants = new Map<number, GrantState>();
  /** First keys of the ranges of each owner. */
  readonly #owned = new Map<UpstreamId, Set<number>>();
  /** Due times of first grants and renewals, by first key. */
  readonly #firstGrantsDue = new DeadlineQueue<number>();
  readonly #renewalsDue = new DeadlineQueue<number>();
  #nextBatchAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Number of renewals that were spread. */
  #spreads = 0;
  readonly #handovers = new Map<string, string>();
  /** The last synchronised list. The registry replaces its lists, so the same list has the same contents. */
  #syncedRanges: readonly KeyRange[] | null = null;

  constructor(private readonly timings: RangeTimings) {}

  /**
   * Takes over the grants of an earlier leader. They hold for some time, so their renewals are spread out. The latest
   * owners come first, since the earlier leader may not have notified them.
   */
  inherit(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    this.syncRanges(ranges, now);
    const owned = ranges.filter(({ owner }) => owner !== null).sort((one, other) => other.fence - one.fence);
    const gap = this.timings.renewMillis / Math.max(1, owned.length);
    owned.slice(IMMEDIATE_RENEWALS).forEach((range, place) => {
      this.#start(range, { isRenewal: true, dueAt: now + (place + IMMEDIATE_RENEWALS) * gap });
    });
    for (const grant of this.#grants.values()) {
      // The earlier leader may have sent it.
      grant.wasSent = true;
    }
  }

  /** Starts grants of new ranges and drops those of ranges that no longer exist. */
  syncRanges(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    if (ranges === this.#syncedRanges) {
      return;
    }
    const previous = { ranges: this.#syncedRanges ?? NO_RANGES, grants: new Map(this.#grants) };
    this.#syncedRanges = ranges;
    for (const range of ranges) {
      if (range.owner !== null) {
        this.#syncRange(range, previous, now);
      }
    }
    const owned = new Set(ranges.filter(({ owner }) => owner !== null).map(({ from }) => from));
    for (const from of previous.grants.keys()) {
      if (!owned.has(from)) {
        this.#drop(from);
      }
    }
    if (this.#handovers.size > MAX_HANDOVERS) {
      this.#handovers.clear();
    }
  }

  find(fence: Epoch, from: number, to: number): GrantState | undefined {
    const grant = this.#grants.get(from);
    return grant !== undefined && isSameRange(grant.range, { fence, to }) ? grant : undefined;
  }

  /** Stores the previous owner's handover of a span for the next owner's first grant. */
  storeHandover(from: number, to: number, handover: string | null): void {
    if (handover !== null) {
      this.#handovers.set(spanKey(from, to), handover);
    }
  }

  /**
   * Removes due grants and returns those that can be sent: all first ones, and renewals up to the batch limit. `canSend` must postpone
   * or delay each grant for which it returns `false`.
   */
  takeDue(now: MonotonicMillis, canSend: (grant: GrantState) => boolean): GrantState[] {
    const first = this.#firstGrantsDue.takeDue(now).flatMap((from) => this.#grants.get(from) ?? []);
    return [...first.filter(canSend), ...this.#takeRenewals(now, canSend)];
  }

  /** Makes an owner's grants due that are wanted about now, renewals somewhat spread: it was just heard. */
  onHeard(owner: UpstreamId, now: MonotonicMillis): void {
    const latestDueAt = now + this.timings.heartbeatMillis * EARLY_HEARTBEATS;
    for (const from of this.#owned.get(owner) ?? []) {
      const grant = this.#grants.get(from);
      if (grant !== undefined && !isClosed(grant) && !grant.isPending && grant.dueAt <= latestDueAt) {
        this.#enqueue(grant, this.#timeAfterHeard(grant, now));
      }
    }
  }

  /** First grants, and renewals that missed a heartbeat, go out at once, those that are due for longest first. */
  #timeAfterHeard({ isRenewal, dueAt }: GrantState, now: MonotonicMillis): MonotonicMillis {
    const isSpread = isRenewal && now - dueAt <= this.timings.heartbeatMillis;
    return isSpread ? now + this.#nextSpreadMillis() : Math.min(now, dueAt);
  }

  #nextSpreadMillis(): number {
    this.#spreads += 1;
    const share = (this.#spreads * SPREAD_STEP) % 1;
    return this.timings.heartbeatMillis * SPREAD_HEARTBEATS * share ** SPREAD_EXPONENT;
  }

  /** Returns whether a grant can't wait for a heartbeat of its owner. */
  isUrgent({ isRenewal, dueAt }: GrantState, now: MonotonicMillis): boolean {
    return !isRenewal || now - dueAt >= this.timings.holdMillis * URGENT_HOLD_SHARE;
  }

  /** Lets a due grant wait until a time, or until its owner is heard. */
  delay(grant: GrantState, until: MonotonicMillis): void {
    this.#enqueue(grant, until);
  }

  nextDeadline(): MonotonicMillis {
    return Math.min(this.#firstGrantsDue.next(), Math.max(this.#renewalsDue.next(), this.#nextBatchAt));
  }

  /** Renewals that can't be sent don't count towards the batch: only calls take time. */
  #takeRenewals(now: MonotonicMillis, canSend: (grant: GrantState) => boolean): GrantState[] {
    const batch: GrantState[] = [];
    if (now < this.#nextBatchAt) {
      return batch;
    }
    while (batch.length < MAX_BATCH_RENEWALS) {
      const [from] = this.#renewalsDue.takeDue(now, 1);
      if (from === undefined) {
        break;
      }
      const grant = this.#grants.get(from);
      if (grant !== undefined && canSend(grant)) {
        batch.push(grant);
      }
    }
    if (batch.length > 0) {
      this.#nextBatchAt = now + RENEWAL_BATCH_GAP_MILLIS;
    }
    return batch;
  }

  /** Records that a grant was accepted and schedules its renewal. */
  onGranted(grant: GrantState, now: MonotonicMillis): void {
    grant.isPending = false;
    grant.isRenewal = true;
    grant.unansweredSince = null;
    grant.handover = null;
    this.#setDue(grant, now + this.timings.renewMillis);
  }

  /** Records that a grant was sent and that its acceptance is unknown. */
  onNoResponse(grant: GrantState, now: MonotonicMillis): void {
    grant.unansweredSince ??= now;
    grant.isAbandoned ||= now - grant.unansweredSince >= longestHoldMillis(this.timings);
  }

  /** Retries a grant soon that got no response or could not be sent, unless it is over. */
  postpone(grant: GrantState, now: MonotonicMillis): void {
    grant.isPending = false;
    if (!isClosed(grant)) {
      this.#enqueue(grant, now + RETRY_MILLIS);
    }
  }

  #syncRange(range: KeyRange, previous: PreviousGrants, now: MonotonicMillis): void {
    const existing = this.#grants.get(range.from);
    if (existing !== undefined && isSameRange(existing.range, range)) {
      existing.range = range;
      return;
    }
    const larger = grantBeforeSplit(range, previous);
    const dueAt = renewalAfterSplit(larger, now);
    this.#start(range, dueAt === null ? { isRenewal: false, dueAt: now } : { isRenewal: true, dueAt });
    const grant = this.#grants.get(range.from);
    if (grant !== undefined) {
      grant.wasSent = larger !== undefined && (larger.wasSent || larger.isRenewal);
    }
  }

  #start(range: KeyRange, { isRenewal, dueAt }: Pick<GrantState, 'isRenewal' | 'dueAt'>): void {
    const { from, to } = range;
    this.#drop(from);
    const handover = isRenewal ? null : (this.#handovers.get(spanKey(from, to)) ?? null);
    const grant = {
      range,
      dueAt,
      isPending: false,
      isRenewal,
      wasSent: false,
      isSuperseded: false,
      unansweredSince: null,
      isAbandoned: false,
      handover,
    };
    this.#grants.set(from, grant);
    this.#ownedBy(range.owner).add(from);
    this.#setDue(grant, dueAt);
  }

  #ownedBy(owner: UpstreamId | null): Set<number> {
    const name = owner ?? '';
    const owned = this.#owned.get(name) ?? new Set<number>();
    this.#owned.set(name, owned);
    return owned;
  }

  #drop(from: number): void {
    const owner = this.#grants.get(from)?.range.owner ?? '';
    const owned = this.#owned.get(owner);
    owned?.delete(from);
    if (owned?.size === 0) {
      this.#owned.delete(owner);
    }
    this.#grants.delete(from);
    this.#firstGrantsDue.delete(from);
    this.#renewalsDue.delete(from);
  }

  #setDue(grant: GrantState, dueAt: MonotonicMillis): void {
    grant.dueAt = dueAt;
    this.#enqueue(grant, dueAt);
  }

  #enqueue(grant: GrantState, at: MonotonicMillis): void {
    const queue = grant.isRenewal ? this.#renewalsDue : this.#firstGrantsDue;
    queue.set(grant.range.from, at);
  }
}

/** Returns whether a grant isn't sent any more. */
function isClosed({ isSuperseded, isAbandoned }: GrantState): boolean {
  return isSuperseded || isAbandoned;
}

/** Maximum number of stored handovers; if one is lost, its new owner starts with a colder cache. */
const MAX_HANDOVERS = 4096;

/** Ranges and grants before the registry changed. */
interface PreviousGrants {
  readonly ranges: readonly KeyRange[];
  readonly grants: ReadonlyMap<number, GrantState>;
}

const NO_RANGES: readonly KeyRange[] = [];

/** Returns the grant, under the same fence, whose range contained this one. */
function grantBeforeSplit(
  { from, fence }: KeyRange,
  { ranges, grants }: PreviousGrants,
): GrantState | undefined {
  const larger = ranges[findRange(ranges, from)];
  return larger?.fence === fence ? grants.get(larger.from) : undefined;
}

/**
 * Returns the renewal time of a range that was split off a larger one of the same grant: that of the larger one.
 * Returns `null` if the larger one was not granted yet.
 */
function renewalAfterSplit(grant: GrantState | undefined, now: MonotonicMillis): MonotonicMillis | null {
  if (grant === undefined || !grant.isRenewal || grant.isSuperseded) {
    return null;
  }
  return grant.isPending ? now : Math.max(now, grant.dueAt);
}

/** Returns whether a range with the same first key is the same one: each owner has its own fence. */
function isSameRange(range: KeyRange, { fence, to }: Pick<KeyRange, 'fence' | 'to'>): boolean {
  return range.fence === fence && range.to === to;
}

function spanKey(from: number, to: number): string {
  return `${from}-${to}`;
}
