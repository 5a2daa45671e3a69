/**
 * Tracks grants named in responses to heartbeats: which of them their owners accepted, and what previous owners
 * handed over.
 */
import type { HeldKeys } from '../../model/held-keys.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';

/** An owner that does not hold a range after this many responses named it accepts it only under a new fence. */
const MAX_UNCONFIRMED = 3;

/** Maximum number of stored handovers; if one is lost, its next owner starts with a colder cache. */
const MAX_HANDOVERS = 1024;

interface Handover extends KeySpan {
  readonly handover: string;
}

interface HeartbeatGrant {
  handover: string | null;
  /** Responses that named the range since the owner last reported holding it. */
  unconfirmed: number;
}

export class HeartbeatGrants {
  readonly #grants = new Map<string, HeartbeatGrant>();
  /** Handovers of spans that no response to their next owner named yet, by first key; oldest first. */
  readonly #handovers = new Map<number, Handover>();

  /** Stores the previous owner's handover of a span for its next owner. */
  storeHandover({ from, to }: KeySpan, handover: string | null): void {
    if (handover !== null) {
      this.#handovers.delete(from);
      this.#handovers.set(from, { from, to, handover });
    }
  }

  /** Counts a response that names a range, and returns the handover to send with it. */
  recordResponse(range: KeyRange): string | null {
    const grant = this.#grantOf(range);
    grant.unconfirmed += 1;
    return grant.handover;
  }

  /** Records what an owner's heartbeat reports as held. */
  recordReport(ranges: readonly KeyRange[], { held }: HeldKeys): void {
    for (const range of ranges) {
      const isHeld = held?.some(
        ({ from, to, fence }) => fence === range.fence && from <= range.from && range.to <= to,
      );
      if (isHeld === true) {
        const grant = this.#grantOf(range);
        grant.unconfirmed = 0;
        grant.handover = null;
      }
    }
  }

  /** Returns whether the owner does not accept a range although responses named it. */
  isRejected(range: KeyRange): boolean {
    return (this.#grants.get(keyOf(range))?.unconfirmed ?? 0) >= MAX_UNCONFIRMED;
  }

  /** Drops the state of ranges that no longer exist. */
  keepOnly(ranges: readonly KeyRange[]): void {
    const names = new Set(ranges.map(keyOf));
    for (const name of this.#grants.keys()) {
      if (!names.has(name)) {
        this.#grants.delete(name);
      }
    }
    for (const from of this.#handovers.keys()) {
      if (this.#handovers.size <= MAX_HANDOVERS) {
        return;
      }
      this.#handovers.delete(from);
    }
  }

  #grantOf(range: KeyRange): HeartbeatGrant {
    const name = keyOf(range);
    const existing = this.#grants.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created = { handover: this.#takeHandover(range), unconfirmed: 0 };
    this.#grants.set(name, created);
    return created;
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

function keyOf({ fence, from, to }: KeyRange): string {
  return `${fence}:${from}-${to}`;
}
