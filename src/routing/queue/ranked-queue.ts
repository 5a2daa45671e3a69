/**
 * Waiting work of one lane in the order of its turns: the most important rank first, within it the least slack; then, by rank, what can't be
 * answered in time any more. Work on like terms waits in the order of arrival, so each look compares a few heads, however much waits.
 */
import type { Work } from '../work.js';
import type { QueueNode } from './linked-queue.js';
import { classTermsOf, WaitingClass } from './waiting-class.js';

/** What the order goes by besides rank. */
export interface TurnOrder {
  readonly now: number;
  /** Time that work is expected to take; `null`: nobody is put behind others for being late. */
  readonly expectedMillis: number | null;
  /** Whether the nearest deadline goes first within a rank, whatever the targets. */
  readonly byDeadline?: boolean;
}

/** A head with its turn: of two, the one with the lower step, then rank, then instant goes first. */
interface Turn {
  readonly work: Work;
  readonly isLate: boolean;
}

export class RankedQueue {
  #classes: WaitingClass[] = [];
  #count = 0;

  get length(): number {
    return this.#count;
  }

  push(work: Work, place: 'front' | 'back'): QueueNode<Work> {
    const terms = classTermsOf(work);
    let group = this.#classes.find((candidate) => candidate.has(terms));
    if (group === undefined) {
      group = new WaitingClass(terms);
      this.#classes = [...this.#classes, group].sort((one, other) => one.terms.rank - other.terms.rank);
    }
    this.#count += 1;
    return group.push(work, place);
  }

  /** Removes a node; one that left already is ignored. */
  remove(node: QueueNode<Work>): void {
    if (node.queue !== null) {
      node.queue.remove(node);
      this.#count -= 1;
    }
  }

  /** First works of all classes, in the order of their turns. */
  heads(order: TurnOrder): Work[] {
    const turns: Turn[] = [];
    for (const { timely, late } of this.#inOrder(order)) {
      const head = timely.peek();
      const lateHead = late.peek();
      if (head !== undefined) {
        turns.push({ work: head, isLate: false });
      }
      if (lateHead !== undefined) {
        turns.push({ work: lateHead, isLate: true });
      }
    }
    return turns.length < 2
      ? turns.map(({ work }) => work)
      : turns.sort((one, other) => compareTurns(one, other, order)).map(({ work }) => work);
  }

  /** Whose turn it is. */
  peek(order: TurnOrder): Work | undefined {
    return this.#classes.length === 1 && order.expectedMillis === null
      ? (this.#classes[0]?.timely.peek() ?? this.#classes[0]?.late.peek())
      : this.heads(order)[0];
  }

  /** The last one of a rank that can still be answered in time. */
  lastOf(rank: number): Work | undefined {
    let last: Work | undefined;
    for (const { terms, timely } of this.#classes) {
      const candidate = terms.rank === rank ? timely.peekLast() : undefined;
      if (candidate !== undefined && (last === undefined || candidate.arrivedAt >= last.arrivedAt)) {
        last = candidate;
      }
    }
    return last;
  }

  /** What gives way first: late work of the least important rank, then the last of it; only of ranks below `rank`. */
  leastBelow(rank: number): Work | undefined {
    const below = this.#classes.filter(({ terms, length }) => terms.rank > rank && length > 0);
    const least = below.at(-1)?.terms.rank;
    const late = below.find(({ terms, late: waiting }) => terms.rank === least && waiting.length > 0);
    return late?.late.peekLast() ?? (least === undefined ? undefined : this.lastOf(least));
  }

  /** The first and the last work of each kind of terms. */
  get ends(): Work[] {
    return this.#classes.flatMap(({ timely, late }) => [
      ...(timely.peek() === undefined ? [] : [timely.peek() as Work, timely.peekLast() as Work]),
      ...(late.peek() === undefined ? [] : [late.peek() as Work, late.peekLast() as Work]),
    ]);
  }

  /** Ranks of which something waits, the most important first. */
  get ranks(): number[] {
    const ranks = this.#classes.filter(({ length }) => length > 0).map(({ terms }) => terms.rank);
    return [...new Set(ranks)];
  }

  /** Works that wait and have their turn before one that comes now on this rank. */
  countAhead(rank: number): number {
    return this.#sum((group) => (group.terms.rank <= rank ? group.timely.length : 0));
  }

  countOf(rank: number): number {
    return this.#sum((group) => (group.terms.rank === rank ? group.length : 0));
  }

  /** Drops what is known of terms on which nothing waits. */
  prune(): void {
    this.#classes = this.#classes.filter(({ length }) => length > 0);
  }

  toArray(): Work[] {
    return this.#classes.flatMap((group) => group.toArray());
  }

  #inOrder({ now, expectedMillis }: TurnOrder): readonly WaitingClass[] {
    if (expectedMillis !== null) {
      for (const group of this.#classes) {
        group.setApartLate(now, expectedMillis);
      }
    }
    return this.#classes;
  }

  #sum(count: (group: WaitingClass) => number): number {
    return this.#classes.reduce((sum, group) => sum + count(group), 0);
  }
}

function compareTurns(one: Turn, other: Turn, { byDeadline = false }: TurnOrder): number {
  const byStanding = Number(one.isLate) - Number(other.isLate);
  const byRank = one.work.rank - other.work.rank;
  return byStanding || byRank || compareSlack(one.work, other.work, byDeadline);
}

/** Expected times are alike within a service, so they don't tell apart. */
export function compareSlack(one: Work, other: Work, byDeadline: boolean): number {
  const difference = byDeadline
    ? one.deadline - other.deadline
    : one.arrivedAt + (one.terms.targetMillis ?? 0) - other.arrivedAt - (other.terms.targetMillis ?? 0);
  return difference || one.arrivedAt - other.arrivedAt || one.request.request - other.request.request;
}
