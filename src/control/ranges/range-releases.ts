/**
 * Tracks unowned ranges on their way to the next owner: the planned target of each piece, and whether the previous
 * owner has released it.
 */
import type { Epoch, MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import type { FreeProof } from './free-proof.js';

/** Delay of a release, so that routers learn of the missing owner before the owner does and it need not reject requests. */
const ROUTER_NOTICE_MILLIS = 25;

/** One piece of an unowned range. */
export interface ReleasedPiece extends PlannedSpan {
  readonly fence: Epoch;
  /** Previous owner; `null` if none may hold the piece. */
  readonly former: UpstreamId | null;
  readonly since: MonotonicMillis;
  /** Time of the next release call to the previous owner. */
  nextAt: MonotonicMillis;
  /** Whether a release call is open. */
  isPending: boolean;
  isReleased: boolean;
  /** Since when the piece is known to be free, and by which proof; `null` while it is not. */
  freeAt: MonotonicMillis | null;
  freedBy: FreeProof | null;
  handover: string | null;
}

export class RangeReleases {
  readonly #pieces = new Map<Epoch, ReleasedPiece[]>();
  /** Plans for spans whose owner is being removed, until that change is committed. */
  #plannedSpans: PlannedSpan[] = [];

  /** Plans the next owner, `target`, of spans whose owner is being removed. */
  plan(spans: readonly PlannedSpan[]): void {
    this.#plannedSpans.push(...spans);
  }

  /** Drops the plans after their proposal failed. */
  discardPlans(): void {
    this.#plannedSpans = [];
  }

  /** Returns the pieces of a range; without a plan for the whole range, `spread` makes them. */
  piecesOf(range: KeyRange, now: MonotonicMillis, spread: () => readonly PlannedSpan[]): ReleasedPiece[] {
    const existing = this.#inside(this.#pieces.get(range.fence) ?? [], range);
    if (existing.length > 0) {
      return existing;
    }
    const planned = this.#inside(this.#plannedSpans, range);
    this.#plannedSpans = this.#plannedSpans.filter((span) => !planned.includes(span));
    const covers =
      planned.reduce((sum, { from, to }) => sum + to - from + 1, 0) === range.to - range.from + 1;
    const spans = covers ? planned : spread();
    const pieces = spans.map((span) => createPiece(span, range, now));
    this.#pieces.set(range.fence, [...(this.#pieces.get(range.fence) ?? []), ...pieces]);
    return pieces;
  }

  /** Returns the piece that a release call was sent for. */
  find(fence: Epoch, from: number, to: number): ReleasedPiece | undefined {
    return this.#pieces.get(fence)?.find((piece) => piece.from === from && piece.to === to);
  }

  /** Returns all pieces that have no owner yet, with their targets. */
  open(): ReleasedPiece[] {
    return [...this.#pieces.values()].flat();
  }

  /** Returns the pieces to release by call now. A piece that cannot be called for is due again after the wait. */
  takeDue(now: MonotonicMillis, waitMillis: number): ReleasedPiece[] {
    const due = this.open().filter((piece) => needsRelease(piece) && now >= piece.nextAt);
    for (const piece of due) {
      piece.nextAt = now + waitMillis;
    }
    return due;
  }

  /** Time of the next release call; `Infinity` if there is none. */
  nextDeadline(): MonotonicMillis {
    return this.open()
      .filter(needsRelease)
      .reduce((first, { nextAt }) => Math.min(first, nextAt), Number.POSITIVE_INFINITY);
  }

  /** Drops pieces that are outside these unowned ranges. */
  keepOnly(unowned: readonly KeyRange[]): void {
    for (const [fence, pieces] of this.#pieces) {
      const current = unowned.filter((range) => range.fence === fence);
      const kept = pieces.filter((piece) => current.some((range) => isInside(piece, range)));
      if (kept.length === 0) {
        this.#pieces.delete(fence);
      } else {
        this.#pieces.set(fence, kept);
      }
    }
  }

  #inside<Span extends PlannedSpan>(spans: readonly Span[], range: KeyRange): Span[] {
    return spans.filter((span) => isInside(span, range));
  }
}

function isInside({ from, to }: KeySpan, range: KeySpan): boolean {
  return from >= range.from && to <= range.to;
}

function needsRelease({ isPending, isReleased, former }: ReleasedPiece): boolean {
  return !isPending && !isReleased && former !== null;
}

function createPiece(span: PlannedSpan, range: KeyRange, now: MonotonicMillis): ReleasedPiece {
  const { from, to, target } = span;
  const isReleased = range.former === null;
  const nextAt = now + ROUTER_NOTICE_MILLIS;
  return {
    from,
    to,
    target,
    fence: range.fence,
    former: range.former,
    since: now,
    nextAt,
    isPending: false,
    isReleased,
    freeAt: null,
    freedBy: null,
    handover: null,
  };
}
