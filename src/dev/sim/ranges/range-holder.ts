/** The keys of one run of a server that accepts plain grants, by calls and in the answers to its heartbeats. Times are its own clock's. */
import type { HolderCall, HolderOutcome } from '../../../control/ranges/holder-call.js';
import type { GrantedKeys, HeldKeys, HeldSpan, ReleasedSpan } from '../../../model/held-keys.js';
import type { Epoch } from '../../../model/identifiers.js';
import { type KeySpan, overlaps } from '../../../model/key-range.js';

interface HeldRow extends HeldSpan {
  readonly until: number;
}

export class RangeHolder {
  #rows: HeldRow[] = [];
  /** Spans with the fences that were seen on them. */
  #fences: HeldSpan[] = [];
  #released: ReleasedSpan[] = [];
  #sequence = 0;

  /** Carries out a call unless it has seen a higher fence on one of the keys. */
  accept(call: HolderCall, now: number): HolderOutcome {
    if (this.#hasSeenHigher(call)) {
      return { type: 'superseded' };
    }
    const { from, to, fence } = call;
    this.#recordFence({ from, to, fence });
    this.#remove(call);
    if (call.kind === 'grant') {
      this.#rows.push({ from, to, fence, until: now + call.holdMillis });
    }
    return { type: 'accepted', handover: null };
  }

  /** Returns the report of the next heartbeat. */
  report(now: number): HeldKeys {
    this.#expire(now);
    this.#sequence += 1;
    const held = this.#rows.map(({ from, to, fence }) => ({ from, to, fence }));
    return { sequence: this.#sequence, held, released: [...this.#released] };
  }

  /** Applies the answer to a heartbeat that was sent at `sentAt`: it names all that may be held from now on. */
  applyAnswer(report: HeldKeys, { spans, holdMillis }: GrantedKeys, sentAt: number): void {
    this.#released = this.#released.filter((release) => !report.released.includes(release));
    const taken = spans.filter((span) => !this.#hasSeenHigher(span));
    const before = this.#rows;
    this.#rows = taken.map(({ from, to, fence }) => ({ from, to, fence, until: sentAt + holdMillis }));
    for (const row of this.#rows) {
      this.#recordFence(row);
    }
    const dropped = before.flatMap((row) => subtract(row, this.#rows));
    this.#released.push(...dropped.map((span) => ({ ...span, handover: null })));
  }

  /** Returns the fence under which it holds a key, or `null` if it doesn't. */
  fenceOf(key: number, now: number): Epoch | null {
    const row = this.#rows.find(({ from, to, until }) => from <= key && key <= to && now < until);
    return row?.fence ?? null;
  }

  #remove(span: KeySpan): void {
    this.#rows = this.#rows.flatMap((row) =>
      subtract(row, [span]).map(({ from, to }) => ({ ...row, from, to })),
    );
  }

  /** Drops holds that have run out; they aren't reported as released. */
  #expire(now: number): void {
    this.#rows = this.#rows.filter(({ until }) => until > now);
  }

  #hasSeenHigher(span: HeldSpan): boolean {
    return this.#fences.some((seen) => seen.fence > span.fence && overlaps(seen, span));
  }

  #recordFence({ from, to, fence }: HeldSpan): void {
    const others = this.#fences.flatMap((seen) =>
      subtract(seen, [{ from, to }]).map((rest) => ({ ...rest, fence: seen.fence })),
    );
    this.#fences = [...others, { from, to, fence }];
  }
}

/** Returns the parts of a span that no other span covers. */
function subtract(span: KeySpan, others: readonly KeySpan[]): KeySpan[] {
  return others.reduce<KeySpan[]>(
    (left, other) =>
      left.flatMap((part) =>
        [
          { from: part.from, to: Math.min(part.to, other.from - 1) },
          { from: Math.max(part.from, other.to + 1), to: part.to },
        ].filter(({ from, to }) => from <= to),
      ),
    [{ from: span.from, to: span.to }],
  );
}
