/** Servers in descending order of utilisation, whose places are kept up to date one at a time. */
import type { OwnerLoads, RangeServer } from './owner-loads.js';

export class BusiestFirst {
  readonly #use: OwnerLoads;
  /** In ascending order, so that the first one is removed and added at the end. */
  readonly #ascending: RangeServer[];

  /** `servers` are in descending order of their utilisation. */
  constructor(use: OwnerLoads, servers: readonly RangeServer[]) {
    this.#use = use;
    this.#ascending = [...servers].reverse();
  }

  /** The busiest server; `undefined` if none is left. */
  get first(): RangeServer | undefined {
    return this.#ascending.at(-1);
  }

  dropFirst(): void {
    this.#ascending.pop();
  }

  /** Adds a server, or moves it to its place after its load has changed. */
  place(server: RangeServer): void {
    const before = this.#ascending.lastIndexOf(server);
    if (before >= 0) {
      this.#ascending.splice(before, 1);
    }
    this.#ascending.splice(this.#placeOf(this.#use.utilisationOf(server)), 0, server);
  }

  /** Number of servers that are less utilised than `utilisation`. */
  #placeOf(utilisation: number): number {
    let low = 0;
    let high = this.#ascending.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#use.utilisationOf(this.#ascending[middle] as RangeServer) < utilisation) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
