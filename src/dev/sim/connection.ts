/** A simulated TCP connection: ordered, whole or broken; a cut holds its messages back until it heals or a peer gives up. */
import type { Network } from './network.js';
import type { SimProcess } from './sim-process.js';

/** Silence after which an end counts its peer as dead. */
export const DEAD_PEER_MILLIS = 1500;
/** How often a blocked end tries again. */
const RETRANSMIT_MILLIS = 40;
/** Keeps messages of one direction in order. */
const ORDER_GAP_MILLIS = 0.001;

/** One end of a connection. */
export interface ConnectionEnd {
  readonly process: SimProcess;
  /** Called once, when this end learns that the connection is gone. */
  readonly onBroken: () => void;
}

interface Direction {
  readonly from: SimProcess;
  readonly to: SimProcess;
  readonly waiting: (() => void)[];
  lastArrival: number;
  blockedSince: number | null;
}

export class Connection {
  private readonly forward: Direction;
  private readonly backward: Direction;
  private readonly runs: readonly [number, number];
  private broken = false;
  /** Who closed it: what it sent before still arrives. */
  private closer: SimProcess | null = null;

  constructor(
    private readonly network: Network,
    private readonly client: ConnectionEnd,
    private readonly server: ConnectionEnd,
  ) {
    this.forward = direction(client.process, server.process);
    this.backward = direction(server.process, client.process);
    this.runs = [client.process.run, server.process.run];
    client.process.connections.add(this);
    server.process.connections.add(this);
  }

  get isBroken(): boolean {
    return this.broken;
  }

  /** Sends from the client's end. */
  sendToServer(deliver: () => void): void {
    this.send(this.forward, deliver);
  }

  /** Sends from the server's end. */
  sendToClient(deliver: () => void): void {
    this.send(this.backward, deliver);
  }

  /** One end closed the connection or its process ended: the other learns it when it can. */
  close(closer: SimProcess): void {
    if (this.broken) {
      return;
    }
    this.markBroken();
    this.closer = closer;
    const other = closer === this.client.process ? this.server : this.client;
    this.tell(other, closer);
  }

  private send(way: Direction, deliver: () => void): void {
    if (this.broken) {
      return;
    }
    way.waiting.push(deliver);
    if (way.waiting.length === 1) {
      this.flush(way);
    }
  }

  private flush(way: Direction): void {
    if (this.broken) {
      return;
    }
    const { time } = this.network;
    if (this.network.isBlocked(way.from, way.to)) {
      way.blockedSince ??= time.now;
      if (time.now - way.blockedSince >= DEAD_PEER_MILLIS) {
        this.giveUp();
        return;
      }
      time.after(RETRANSMIT_MILLIS, () => this.flush(way));
      return;
    }
    way.blockedSince = null;
    for (const deliver of way.waiting.splice(0)) {
      const arrival = Math.max(
        time.now + this.network.latency(way.from, way.to),
        way.lastArrival + ORDER_GAP_MILLIS,
      );
      way.lastArrival = arrival;
      time.at(arrival, () => this.arrive(way, deliver));
    }
  }

  private arrive(way: Direction, deliver: () => void): void {
    if (this.broken && way.from !== this.closer) {
      return;
    }
    const expectedRun = way === this.forward ? this.runs[1] : this.runs[0];
    if (way.to.run === expectedRun && way.to.state !== 'stopped') {
      way.to.post(deliver, true);
      return;
    }
    this.missPeer(way);
  }

  /** The receiver's run is over: a new one resets the connection, a machine that is gone says nothing. */
  private missPeer(way: Direction): void {
    const silence = way.to.state === 'stopped' ? DEAD_PEER_MILLIS : 0;
    this.network.time.after(silence, () => {
      if (!this.broken) {
        this.giveUp();
      }
    });
  }

  private markBroken(): void {
    this.broken = true;
    this.client.process.connections.delete(this);
    this.server.process.connections.delete(this);
  }

  private giveUp(): void {
    this.markBroken();
    this.tell(this.client, this.server.process);
    this.tell(this.server, this.client.process);
  }

  private tell(end: ConnectionEnd, other: SimProcess): void {
    const { time } = this.network;
    const run = end === this.client ? this.runs[0] : this.runs[1];
    const way = end === this.client ? this.backward : this.forward;
    const arrival = Math.max(
      time.now + this.network.latency(other, end.process),
      way.lastArrival + ORDER_GAP_MILLIS,
    );
    const learnedAt = this.network.isBlocked(other, end.process) ? time.now + DEAD_PEER_MILLIS : arrival;
    time.at(learnedAt, () => {
      if (end.process.run === run) {
        end.process.post(end.onBroken, true);
      }
    });
  }
}

function direction(from: SimProcess, to: SimProcess): Direction {
  return { from, to, waiting: [], lastArrival: 0, blockedSince: null };
}
