/** The grants that ranges with an owner need: the first as soon as the owner is decided, then renewals. */
import type { TimedGrantTimings } from '../../lease/timed-grants.js';
import type { Epoch, MonotonicMillis } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';

/** A grant without an answer is tried again after this. */
const RETRY_MILLIS = 150;

/** Grants of an earlier leader that are renewed at once, the latest ones. */
const LATEST_GRANTS = 12;

/** One grant that is kept up. */
export interface KeptGrant {
  nextAt: MonotonicMillis;
  isAsked: boolean;
  /** The upstream has seen a higher fence: this grant is over. */
  isSuperseded: boolean;
  handover: string | null;
}

export class RangeGrants {
  readonly #grants = new Map<string, KeptGrant>();
  readonly #handovers = new Map<string, string>();

  constructor(private readonly timings: TimedGrantTimings) {}

  /** The grant of a range, begun if it is new. */
  of(range: KeyRange, now: MonotonicMillis): KeptGrant {
    const name = nameOf(range.fence, range.from, range.to);
    const known = this.#grants.get(name);
    if (known !== undefined) {
      return known;
    }
    const handover = this.#handovers.get(spanOf(range.from, range.to)) ?? null;
    const made = { nextAt: now, isAsked: false, isSuperseded: false, handover };
    this.#grants.set(name, made);
    return made;
  }

  /**
   * Takes over the grants of an earlier leader. They hold for a while yet, so their renewals are spread; the latest owners
   * come first, since that leader may not have told them any more.
   */
  inherit(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    const owned = ranges.filter(({ owner }) => owner !== null).sort((one, other) => other.fence - one.fence);
    const gap = this.timings.renewMillis / Math.max(1, owned.length);
    owned.forEach((range, place) => {
      const isLatest = place < LATEST_GRANTS;
      this.of(range, now).nextAt = isLatest ? now : now + place * gap;
    });
  }

  find(fence: Epoch, from: number, to: number): KeptGrant | undefined {
    return this.#grants.get(nameOf(fence, from, to));
  }

  /** What the owner before handed over for a span, for the next owner's first grant. */
  handOver(from: number, to: number, handover: string | null): void {
    if (handover !== null) {
      this.#handovers.set(spanOf(from, to), handover);
    }
  }

  /** It was answered: the next renewal is due in a while. */
  granted(grant: KeptGrant, now: MonotonicMillis): void {
    grant.isAsked = false;
    grant.handover = null;
    grant.nextAt = now + this.timings.renewMillis;
  }

  failed(grant: KeptGrant, now: MonotonicMillis): void {
    grant.isAsked = false;
    grant.nextAt = now + RETRY_MILLIS;
  }

  /** Drops grants of ranges that don't stand any more. */
  keepOnly(ranges: readonly KeyRange[]): void {
    const names = new Set(ranges.map(({ fence, from, to }) => nameOf(fence, from, to)));
    for (const name of this.#grants.keys()) {
      if (!names.has(name)) {
        this.#grants.delete(name);
      }
    }
    if (this.#handovers.size > MOST_HANDOVERS) {
      this.#handovers.clear();
    }
  }
}

/** Handovers kept at once; one that is lost costs its new owner some warmth. */
const MOST_HANDOVERS = 4096;

function nameOf(fence: Epoch, from: number, to: number): string {
  return `${fence}:${from}-${to}`;
}

function spanOf(from: number, to: number): string {
  return `${from}-${to}`;
}
