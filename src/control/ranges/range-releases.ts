/**
 * Ranges that nobody owns, on their way to the next owner: what is planned for each piece, and whether the owner before
 * has given it up.
 */
import type { Epoch, MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import type { FreeProof } from './free-proof.js';

/** Routers hear that there is no owner before the owner does, so that it need not turn requests away. */
const NOTICE_MILLIS = 25;

/** One piece of a range without owner. */
export interface ReleasedPiece extends PlannedSpan {
  readonly fence: Epoch;
  /** Owner before; `null`: none that may hold it. */
  readonly former: UpstreamId | null;
  readonly since: MonotonicMillis;
  /** When the owner before is asked for it (again). */
  nextAt: MonotonicMillis;
  /** A call is under way. */
  isAsked: boolean;
  isReleased: boolean;
  /** Since when it is known to be free, and by what; `null`: it isn't yet. */
  freeAt: MonotonicMillis | null;
  freedBy: FreeProof | null;
  handover: string | null;
}

export class RangeReleases {
  readonly #pieces = new Map<Epoch, ReleasedPiece[]>();
  /** What was planned for spans whose owner is being taken off, until that is in force. */
  #planned: PlannedSpan[] = [];

  /** The owner of these spans is being taken off; `target` gets them next. */
  plan(spans: readonly PlannedSpan[]): void {
    this.#planned.push(...spans);
  }

  /** The taking off was lost. */
  forgetPlans(): void {
    this.#planned = [];
  }

  /** The pieces of a range; `spread` makes them where nothing was planned. */
  piecesOf(range: KeyRange, now: MonotonicMillis, spread: () => readonly PlannedSpan[]): ReleasedPiece[] {
    const known = this.#inside(this.#pieces.get(range.fence) ?? [], range);
    if (known.length > 0) {
      return known;
    }
    const planned = this.#inside(this.#planned, range);
    this.#planned = this.#planned.filter((span) => !planned.includes(span));
    const covers =
      planned.reduce((sum, { from, to }) => sum + to - from + 1, 0) === range.to - range.from + 1;
    const spans = covers ? planned : spread();
    const pieces = spans.map((span) => pieceOf(span, range, now));
    this.#pieces.set(range.fence, [...(this.#pieces.get(range.fence) ?? []), ...pieces]);
    return pieces;
  }

  /** The piece that a release was sent for. */
  find(fence: Epoch, from: number, to: number): ReleasedPiece | undefined {
    return this.#pieces.get(fence)?.find((piece) => piece.from === from && piece.to === to);
  }

  /** All pieces that have no owner yet, with who gets them next. */
  open(): ReleasedPiece[] {
    return [...this.#pieces.values()].flat();
  }

  /** Pieces that their owners before are to be asked for now. One that can't be asked for is due again after the wait. */
  takeDue(now: MonotonicMillis, waitMillis: number): ReleasedPiece[] {
    const due = this.open().filter((piece) => isToBeAsked(piece) && now >= piece.nextAt);
    for (const piece of due) {
      piece.nextAt = now + waitMillis;
    }
    return due;
  }

  /** When an owner before is to be asked next; `Infinity`: all were. */
  nextDeadline(): MonotonicMillis {
    return this.open()
      .filter(isToBeAsked)
      .reduce((first, { nextAt }) => Math.min(first, nextAt), Number.POSITIVE_INFINITY);
  }

  /** Drops what none of these ranges, which have no owner, stands for any more. */
  keepOnly(unowned: readonly KeyRange[]): void {
    for (const [fence, pieces] of this.#pieces) {
      const standing = unowned.filter((range) => range.fence === fence);
      const kept = pieces.filter((piece) => standing.some((range) => isInside(piece, range)));
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

function isToBeAsked({ isAsked, isReleased, former }: ReleasedPiece): boolean {
  return !isAsked && !isReleased && former !== null;
}

function pieceOf(span: PlannedSpan, range: KeyRange, now: MonotonicMillis): ReleasedPiece {
  const { from, to, target } = span;
  const isReleased = range.former === null;
  const nextAt = now + NOTICE_MILLIS;
  return {
    from,
    to,
    target,
    fence: range.fence,
    former: range.former,
    since: now,
    nextAt,
    isAsked: false,
    isReleased,
    freeAt: null,
    freedBy: null,
    handover: null,
  };
}
