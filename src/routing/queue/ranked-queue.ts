/**
 * Waiting request groups of one shard queue in dispatch order: groups that can still be answered within their target come first, by rank
 * and then by least slack; late ones follow by rank. Groups with similar terms wait in arrival order, so choosing the next one compares
 * only the heads of a few classes, whatever the length of the queue.
 */
import type { RequestGroup } from '../request-group.js';
import type { QueueNode } from './linked-queue.js';
import { classTermsOf, WaitingClass } from './waiting-class.js';

/** Parameters of the dispatch order other than rank. */
export interface DispatchOrder {
  readonly now: number;
  /** Expected service time; `null` if late groups aren't moved behind the others. */
  readonly expectedMillis: number | null;
  /** Whether the nearest deadline goes first within a rank, regardless of targets. */
  readonly byDeadline?: boolean;
}

/** The head of a class. Heads are ordered by lateness, then rank, then slack. */
interface Head {
  readonly group: RequestGroup;
  readonly isLate: boolean;
}

export class RankedQueue {
  #classes: WaitingClass[] = [];
  #count = 0;

  get length(): number {
    return this.#count;
  }

  push(group: RequestGroup, place: 'front' | 'back'): QueueNode<RequestGroup> {
    const terms = classTermsOf(group);
    let waitingClass = this.#classes.find((candidate) => candidate.matches(terms));
    if (waitingClass === undefined) {
      waitingClass = new WaitingClass(terms);
      this.#classes = [...this.#classes, waitingClass].sort(
        (one, other) => one.terms.rank - other.terms.rank,
      );
    }
    this.#count += 1;
    return waitingClass.push(group, place);
  }

  /** Removes a node; does nothing if it was already removed. */
  remove(node: QueueNode<RequestGroup>): void {
    if (node.queue !== null) {
      node.queue.remove(node);
      this.#count -= 1;
    }
  }

  /** Returns the first groups of all classes, in dispatch order. */
  heads(order: DispatchOrder): RequestGroup[] {
    const heads: Head[] = [];
    for (const { timely, late } of this.#classesWithLateSplit(order)) {
      const head = timely.peek();
      const lateHead = late.peek();
      if (head !== undefined) {
        heads.push({ group: head, isLate: false });
      }
      if (lateHead !== undefined) {
        heads.push({ group: lateHead, isLate: true });
      }
    }
    return heads.length < 2
      ? heads.map(({ group }) => group)
      : heads.sort((one, other) => compareHeads(one, other, order)).map(({ group }) => group);
  }

  /** Returns the group to dispatch next. */
  peek(order: DispatchOrder): RequestGroup | undefined {
    return this.#classes.length === 1 && order.expectedMillis === null
      ? (this.#classes[0]?.timely.peek() ?? this.#classes[0]?.late.peek())
      : this.heads(order)[0];
  }

  /** Returns the last group of a rank that can still be answered within its target. */
  lastOf(rank: number): RequestGroup | undefined {
    let last: RequestGroup | undefined;
    for (const { terms, timely } of this.#classes) {
      const candidate = terms.rank === rank ? timely.peekLast() : undefined;
      if (candidate !== undefined && (last === undefined || candidate.arrivedAt >= last.arrivedAt)) {
        last = candidate;
      }
    }
    return last;
  }

  /**
   * Returns the group to evict first among ranks less important than `rank`: a late group of the least important rank, else the last
   * group of that rank.
   */
  evictionCandidate(rank: number): RequestGroup | undefined {
    const below = this.#classes.filter(({ terms, length }) => terms.rank > rank && length > 0);
    const leastImportantRank = below.at(-1)?.terms.rank;
    const late = below.find(
      ({ terms, late: waiting }) => terms.rank === leastImportantRank && waiting.length > 0,
    );
    return (
      late?.late.peekLast() ??
      (leastImportantRank === undefined ? undefined : this.lastOf(leastImportantRank))
    );
  }

  /** The first and last waiting groups of each class. */
  get firstAndLast(): RequestGroup[] {
    return this.#classes.flatMap(({ timely, late }) => [
      ...(timely.peek() === undefined
        ? []
        : [timely.peek() as RequestGroup, timely.peekLast() as RequestGroup]),
      ...(late.peek() === undefined ? [] : [late.peek() as RequestGroup, late.peekLast() as RequestGroup]),
    ]);
  }

  /** Ranks with waiting groups, the most important first. */
  get ranks(): number[] {
    const ranks = this.#classes.filter(({ length }) => length > 0).map(({ terms }) => terms.rank);
    return [...new Set(ranks)];
  }

  /** Returns how many waiting groups are dispatched before one that arrives now with this rank. */
  countAhead(rank: number): number {
    return this.#sum((waitingClass) => (waitingClass.terms.rank <= rank ? waitingClass.timely.length : 0));
  }

  countOf(rank: number): number {
    return this.#sum((waitingClass) => (waitingClass.terms.rank === rank ? waitingClass.length : 0));
  }

  /** Drops the classes without waiting groups. */
  prune(): void {
    this.#classes = this.#classes.filter(({ length }) => length > 0);
  }

  toArray(): RequestGroup[] {
    return this.#classes.flatMap((waitingClass) => waitingClass.toArray());
  }

  #classesWithLateSplit({ now, expectedMillis }: DispatchOrder): readonly WaitingClass[] {
    if (expectedMillis !== null) {
      for (const waitingClass of this.#classes) {
        waitingClass.moveLate(now, expectedMillis);
      }
    }
    return this.#classes;
  }

  #sum(count: (waitingClass: WaitingClass) => number): number {
    return this.#classes.reduce((sum, waitingClass) => sum + count(waitingClass), 0);
  }
}

function compareHeads(one: Head, other: Head, { byDeadline = false }: DispatchOrder): number {
  const byStanding = Number(one.isLate) - Number(other.isLate);
  const byRank = one.group.rank - other.group.rank;
  return byStanding || byRank || compareSlack(one.group, other.group, byDeadline);
}

/** Expected times are alike within a service, so they don't affect the comparison. */
export function compareSlack(one: RequestGroup, other: RequestGroup, byDeadline: boolean): number {
  const difference = byDeadline
    ? one.deadline - other.deadline
    : one.arrivedAt + (one.terms.targetMillis ?? 0) - other.arrivedAt - (other.terms.targetMillis ?? 0);
  return difference || one.arrivedAt - other.arrivedAt || one.request.request - other.request.request;
}
