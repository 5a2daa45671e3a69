/** A connection of a router to an upstream that another router carries: two connections, and the messages passed on between them. */
import { Connection, type ConnectionEnd } from '../connection.js';
import type { Network } from '../network.js';
import type { SimProcess } from '../sim-process.js';

/** What an attempt needs of a connection to an upstream. */
export interface UpstreamLink {
  sendToServer(deliver: () => void): void;
  sendToClient(deliver: () => void): void;
  close(closer: SimProcess): void;
}

export class RelayedLink implements UpstreamLink {
  readonly #relay: SimProcess;
  readonly #router: SimProcess;
  /** From the router to its relay, and from there to the upstream. */
  readonly #first: Connection;
  readonly #second: Connection;

  /** `onRelayLost`: called if the connection to the relay ends, so that it isn't known what became of the other one. */
  constructor(
    network: Network,
    router: ConnectionEnd,
    relay: SimProcess,
    upstream: ConnectionEnd,
    onRelayLost: () => void,
  ) {
    this.#relay = relay;
    this.#router = router.process;
    this.#first = new Connection(
      network,
      { process: router.process, onBroken: onRelayLost },
      { process: relay, onBroken: () => this.#second.close(relay) },
    );
    this.#second = new Connection(
      network,
      { process: relay, onBroken: () => this.#reportBreak(router.onBroken) },
      upstream,
    );
  }

  sendToServer(deliver: () => void): void {
    this.#first.sendToServer(() => this.#second.sendToServer(deliver));
  }

  sendToClient(deliver: () => void): void {
    this.#second.sendToClient(() => this.#first.sendToClient(deliver));
  }

  close(closer: SimProcess): void {
    const side = closer === this.#router ? this.#first : this.#second;
    side.close(closer);
  }

  #reportBreak(onBroken: () => void): void {
    this.#first.sendToClient(onBroken);
    this.#first.close(this.#relay);
  }
}
