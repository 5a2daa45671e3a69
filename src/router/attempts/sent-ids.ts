/**
 * Ids of the requests that a connection to an upstream has carried. An upstream names in its answer only the caller's id, which all attempts of
 * a request share, and may send an answer a second time: on a connection that carries no id twice, the id tells whose answer it is.
 */

/** Bounds the memory of a connection; one that has carried as many requests is replaced. */
const MAX_IDS_PER_CONNECTION = 500;

export class SentIds {
  readonly #ids = new Set<string>();

  /** Whether the connection may carry a request with this id. */
  mayCarry(id: string): boolean {
    return this.#ids.size < MAX_IDS_PER_CONNECTION && !this.#ids.has(id);
  }

  add(id: string): void {
    this.#ids.add(id);
  }
}
