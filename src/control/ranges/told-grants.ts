/**
 * Tracks grants named in responses to heartbeats: which of them their owners accepted, and what previous owners
 * handed over.
 */
import type { HeldKeys } from '../../model/held-keys.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';

/** An owner that does not hold a range after this many responses named it accepts it only under a new fence. */
const MOST_UNTAKEN = 3;

/** Maximum number of stored handovers; if one is lost, its next owner starts with a colder cache. */
const MOST_HANDOVERS = 1024;

interface Handover extends KeySpan {
  readonly handover: string;
}

interface ToldGrant {
  handover: string | null;
  /** Responses that named the range since the owner last reported holding it. */
  untaken: number;
}

export class ToldGrants {
  readonly #grants = new Map<string, ToldGrant>();
  /** Handovers of spans that no response to their next owner named yet, by first key; oldest first. */
  readonly #handovers = new Map<number, Handover>();

  /** Stores the previous owner's handover of a span for its next owner. */
  handOver({ from, to }: KeySpan, handover: string | null): void {
    if (handover !== null) {
      this.#handovers.delete(from);
      this.#handovers.set(from, { from, to, handover });
    }
  }

  /** Counts a response that names a range, and returns the handover to send with it. */
  tell(range: KeyRange): string | null {
    const grant = this.#of(range);
    grant.untaken += 1;
    return grant.handover;
  }

  /** Records what an owner's heartbeat reports as held. */
  shown(ranges: readonly KeyRange[], { held }: HeldKeys): void {
    for (const range of ranges) {
      const isHeld = held?.some(
        ({ from, to, fence }) => fence === range.fence && from <= range.from && range.to <= to,
      );
      if (isHeld === true) {
        const grant = this.#of(range);
        grant.untaken = 0;
        grant.handover = null;
      }
    }
  }

  /** Returns whether the owner does not accept a range although responses named it. */
  isRefused(range: KeyRange): boolean {
    return (this.#grants.get(nameOf(range))?.untaken ?? 0) >= MOST_UNTAKEN;
  }

  /** Drops the state of ranges that no longer exist. */
  keepOnly(ranges: readonly KeyRange[]): void {
    const names = new Set(ranges.map(nameOf));
    for (const name of this.#grants.keys()) {
      if (!names.has(name)) {
        this.#grants.delete(name);
      }
    }
    for (const from of this.#handovers.keys()) {
      if (this.#handovers.size <= MOST_HANDOVERS) {
        return;
      }
      this.#handovers.delete(from);
    }
  }

  #of(range: KeyRange): ToldGrant {
    const name = nameOf(range);
    const known = this.#grants.get(name);
    if (known !== undefined) {
      return known;
    }
    const made = { handover: this.#takeHandover(range), untaken: 0 };
    this.#grants.set(name, made);
    return made;
  }

  /** Removes the handovers inside a range and returns the first: neighbours that were assigned together form one range. */
  #takeHandover(range: KeySpan): string | null {
    const inside = [...this.#handovers.values()].filter(
      ({ from, to }) => from >= range.from && to <= range.to,
    );
    for (const { from } of inside) {
      this.#handovers.delete(from);
    }
    return inside[0]?.handover ?? null;
  }
}

function nameOf({ fence, from, to }: KeyRange): string {
  return `${fence}:${from}-${to}`;
}
