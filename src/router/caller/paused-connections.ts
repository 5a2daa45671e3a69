/** Connections whose sockets aren't read, some of which are read again from time to time to learn whether their callers left. */

/** A caller that left must be known in well under half a second. */
const LOOK_MILLIS = 200;

export interface PausedConnection {
  /** Reads its socket again until the next request comes. */
  look(): void;
}

export class PausedConnections {
  readonly #looked = new Set<PausedConnection>();
  #timer: NodeJS.Timeout | undefined;

  lookAt(connection: PausedConnection): void {
    this.#looked.add(connection);
    this.#timer ??= setInterval(() => this.#lookAtAll(), LOOK_MILLIS).unref();
  }

  forget(connection: PausedConnection): void {
    this.#looked.delete(connection);
  }

  #lookAtAll(): void {
    const connections = [...this.#looked];
    this.#looked.clear();
    for (const connection of connections) {
      connection.look();
    }
    if (connections.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
