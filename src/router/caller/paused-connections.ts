/** Connections whose sockets are paused, and which are briefly read at intervals to detect that their callers disconnected. */

/** A caller's disconnect must be detected in well under half a second. */
const LOOK_INTERVAL_MILLIS = 200;

export interface PausedConnection {
  /** Reads the socket again until the next request arrives. */
  look(): void;
}

export class PausedConnections {
  readonly #scheduled = new Set<PausedConnection>();
  #timer: NodeJS.Timeout | undefined;

  scheduleLook(connection: PausedConnection): void {
    this.#scheduled.add(connection);
    this.#timer ??= setInterval(() => this.#lookAtScheduled(), LOOK_INTERVAL_MILLIS).unref();
  }

  remove(connection: PausedConnection): void {
    this.#scheduled.delete(connection);
  }

  #lookAtScheduled(): void {
    const connections = [...this.#scheduled];
    this.#scheduled.clear();
    for (const connection of connections) {
      connection.look();
    }
    if (connections.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
