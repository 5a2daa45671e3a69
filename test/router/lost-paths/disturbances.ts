/** Times at which the paths or the process of a router changed, to know when it should serve like any other. */

/** Time after which a change no longer excuses anything. */
export const SETTLED_AFTER_MILLIS = 1000;
/** A request may still be under way for this time when the next change comes. */
const REQUEST_MILLIS = 500;

interface Change {
  /** `null`: every router is concerned, because it may use the one that changed. */
  readonly router: string | null;
  readonly from: number;
  until: number;
}

export class Disturbances {
  readonly #changes: Change[] = [];

  /** The paths of a router change at once. */
  notePaths(router: string): void {
    const now = performance.now();
    this.#changes.push({ router, from: now, until: now });
  }

  /** Something happens to a process, until the returned function is called. */
  noteProcess(): () => void {
    const change: Change = { router: null, from: performance.now(), until: Number.POSITIVE_INFINITY };
    this.#changes.push(change);
    return () => {
      change.until = performance.now();
    };
  }

  /** Whether a request that was sent then met a router whose paths, and all processes, had long been as they were. */
  isSettled(router: string, sentAt: number): boolean {
    return !this.#changes.some(
      (change) =>
        (change.router === null || change.router === router) &&
        sentAt > change.from - REQUEST_MILLIS &&
        sentAt < change.until + SETTLED_AFTER_MILLIS,
    );
  }
}
