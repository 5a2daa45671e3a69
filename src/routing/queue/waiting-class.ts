/** Waiting request groups with similar terms in arrival order, so that the first one always has the least slack. */

import type { RequestGroup } from '../request-group.js';
import type { RequestTerms } from '../request-terms.js';
import { LinkedQueue, type QueueNode } from './linked-queue.js';

/** Deadlines within this factor are similar. */
const DEADLINE_FACTOR = 2;

/** Terms that decide the dispatch order of a group. */
export interface ClassTerms {
  readonly rank: number;
  /** `null` if there is no target. */
  readonly targetMillis: number | null;
  /** The time from arrival to the deadline, in powers of `DEADLINE_FACTOR`. */
  readonly deadlineStep: number;
}

export function classTermsOf({ terms, rank, deadline, arrivedAt }: RequestGroup): ClassTerms {
  const allowedMillis = Math.max(1, deadline - arrivedAt);
  const deadlineStep = Math.floor(Math.log(allowedMillis) / Math.log(DEADLINE_FACTOR));
  return { rank, targetMillis: terms.targetMillis, deadlineStep };
}

/** Returns when a group must be started to be answered within its target; without a target, when it arrived. */
export function latestStartOf(
  group: { readonly terms: RequestTerms; readonly askedAt: number },
  expectedMillis: number,
) {
  const { targetMillis } = group.terms;
  return targetMillis === null ? group.askedAt : group.askedAt + targetMillis - expectedMillis;
}

export class WaitingClass {
  /** Groups that can still be answered within their target, as of the last `moveLate`. */
  readonly timely = new LinkedQueue<RequestGroup>();
  /** Groups that can't be answered within their target any more. */
  readonly late = new LinkedQueue<RequestGroup>();

  constructor(readonly terms: ClassTerms) {}

  get length(): number {
    return this.timely.length + this.late.length;
  }

  matches({ rank, targetMillis, deadlineStep }: ClassTerms): boolean {
    const { terms } = this;
    return terms.rank === rank && terms.targetMillis === targetMillis && terms.deadlineStep === deadlineStep;
  }

  push(group: RequestGroup, place: 'front' | 'back'): QueueNode<RequestGroup> {
    return place === 'front' ? this.timely.pushFront(group) : this.timely.pushBack(group);
  }

  /** Moves groups that can't be answered within their target any more behind the others. */
  moveLate(now: number, expectedMillis: number): void {
    if (this.terms.targetMillis === null) {
      return;
    }
    let head = this.timely.peek();
    while (head !== undefined && latestStartOf(head, expectedMillis) < now) {
      this.timely.remove(head.node as QueueNode<RequestGroup>);
      head.node = this.late.pushBack(head);
      head = this.timely.peek();
    }
  }

  toArray(): RequestGroup[] {
    return [...this.late.toArray(), ...this.timely.toArray()];
  }
}
