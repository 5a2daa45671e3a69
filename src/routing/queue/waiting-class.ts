/** Waiting work on like terms, in the order of its arrival, so that the first one always has the least slack. */
import type { RequestTerms } from '../request-terms.js';
import type { Work } from '../work.js';
import { LinkedQueue, type QueueNode } from './linked-queue.js';

/** Deadlines are alike within this factor. */
const DEADLINE_FACTOR = 2;

/** Terms that decide the turn of a work. */
export interface ClassTerms {
  readonly rank: number;
  /** `null`: it has none. */
  readonly targetMillis: number | null;
  /** Its time until the deadline when it came, coarsely. */
  readonly deadlineStep: number;
}

export function classTermsOf({ terms, rank, deadline, arrivedAt }: Work): ClassTerms {
  const allowedMillis = Math.max(1, deadline - arrivedAt);
  const deadlineStep = Math.floor(Math.log(allowedMillis) / Math.log(DEADLINE_FACTOR));
  return { rank, targetMillis: terms.targetMillis, deadlineStep };
}

/** When work must begin for an answer in time; for work without a target, as soon as it came. */
export function latestStartOf(
  work: { readonly terms: RequestTerms; readonly askedAt: number },
  expectedMillis: number,
) {
  const { targetMillis } = work.terms;
  return targetMillis === null ? work.askedAt : work.askedAt + targetMillis - expectedMillis;
}

export class WaitingClass {
  /** Work that can still be answered in time, as far as was looked. */
  readonly timely = new LinkedQueue<Work>();
  /** Work that can't. */
  readonly late = new LinkedQueue<Work>();

  constructor(readonly terms: ClassTerms) {}

  get length(): number {
    return this.timely.length + this.late.length;
  }

  has({ rank, targetMillis, deadlineStep }: ClassTerms): boolean {
    const { terms } = this;
    return terms.rank === rank && terms.targetMillis === targetMillis && terms.deadlineStep === deadlineStep;
  }

  push(work: Work, place: 'front' | 'back'): QueueNode<Work> {
    return place === 'front' ? this.timely.pushFront(work) : this.timely.pushBack(work);
  }

  /** Moves work that can't be answered in time any more behind all that can. */
  setApartLate(now: number, expectedMillis: number): void {
    if (this.terms.targetMillis === null) {
      return;
    }
    let head = this.timely.peek();
    while (head !== undefined && latestStartOf(head, expectedMillis) < now) {
      this.timely.remove(head.node as QueueNode<Work>);
      head.node = this.late.pushBack(head);
      head = this.timely.peek();
    }
  }

  toArray(): Work[] {
    return [...this.late.toArray(), ...this.timely.toArray()];
  }
}
