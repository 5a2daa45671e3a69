/** A simulated TCP connection: delivers in order until it breaks. A cut delays messages until it heals or a peer times out. */
import type { Network } from './network.js';
import type { SimProcess } from './sim-process.js';

/** Silence after which an end considers its peer dead. */
export const DEAD_PEER_MILLIS = 1500;
/** Interval between retransmissions of a blocked end. */
const RETRANSMIT_MILLIS = 40;
/** Minimum gap between arrivals in one direction, which keeps messages in order. */
const ORDER_GAP_MILLIS = 0.001;

/** One end of a connection. */
export interface ConnectionEnd {
  readonly process: SimProcess;
  /** Called once, when this end detects that the connection is broken. */
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
  /** The process that closed the connection; messages it sent before that still arrive. */
  private closer: SimProcess | null = null;

  constructor(
    private readonly network: Network,
    private readonly client: ConnectionEnd,
    private readonly server: ConnectionEnd,
  ) {
    this.forward = createDirection(client.process, server.process);
    this.backward = createDirection(server.process, client.process);
    this.runs = [client.process.run, server.process.run];
    client.process.connections.add(this);
    server.process.connections.add(this);
  }

  get isBroken(): boolean {
    return this.broken;
  }

  /** Sends a message from the client to the server. */
  sendToServer(deliver: () => void): void {
    this.send(this.forward, deliver);
  }

  /** Sends a message from the server to the client. */
  sendToClient(deliver: () => void): void {
    this.send(this.backward, deliver);
  }

  /** Closes the connection from one end, also when that process ends; the other end is notified as the network permits. */
  close(closer: SimProcess): void {
    if (this.broken) {
      return;
    }
    this.markBroken();
    this.closer = closer;
    const other = closer === this.client.process ? this.server : this.client;
    this.notifyClosed(other, closer);
  }

  private send(direction: Direction, deliver: () => void): void {
    if (this.broken) {
      return;
    }
    direction.waiting.push(deliver);
    if (direction.waiting.length === 1) {
      this.flush(direction);
    }
  }

  private flush(direction: Direction): void {
    if (this.broken) {
      return;
    }
    const { time } = this.network;
    if (this.network.isBlocked(direction.from, direction.to)) {
      direction.blockedSince ??= time.now;
      if (time.now - direction.blockedSince >= DEAD_PEER_MILLIS) {
        this.breakBothEnds();
        return;
      }
      time.after(RETRANSMIT_MILLIS, () => this.flush(direction));
      return;
    }
    direction.blockedSince = null;
    for (const deliver of direction.waiting.splice(0)) {
      const arrival = Math.max(
        time.now + this.network.latency(direction.from, direction.to),
        direction.lastArrival + ORDER_GAP_MILLIS,
      );
      direction.lastArrival = arrival;
      time.at(arrival, () => this.arrive(direction, deliver));
    }
  }

  private arrive(direction: Direction, deliver: () => void): void {
    if (this.broken && direction.from !== this.closer) {
      return;
    }
    const expectedRun = direction === this.forward ? this.runs[1] : this.runs[0];
    if (direction.to.run === expectedRun && direction.to.state !== 'stopped') {
      direction.to.post(deliver, true);
      return;
    }
    this.detectLostPeer(direction);
  }

  /** Breaks the connection when the receiver's run is over: at once if a new run resets it, after a timeout if the machine is down. */
  private detectLostPeer(direction: Direction): void {
    const silence = direction.to.state === 'stopped' ? DEAD_PEER_MILLIS : 0;
    this.network.time.after(silence, () => {
      if (!this.broken) {
        this.breakBothEnds();
      }
    });
  }

  private markBroken(): void {
    this.broken = true;
    this.client.process.connections.delete(this);
    this.server.process.connections.delete(this);
  }

  private breakBothEnds(): void {
    this.markBroken();
    this.notifyClosed(this.client, this.server.process);
    this.notifyClosed(this.server, this.client.process);
  }

  private notifyClosed(end: ConnectionEnd, other: SimProcess): void {
    const { time } = this.network;
    const run = end === this.client ? this.runs[0] : this.runs[1];
    const direction = end === this.client ? this.backward : this.forward;
    const arrival = Math.max(
      time.now + this.network.latency(other, end.process),
      direction.lastArrival + ORDER_GAP_MILLIS,
    );
    const notifiedAt = this.network.isBlocked(other, end.process) ? time.now + DEAD_PEER_MILLIS : arrival;
    time.at(notifiedAt, () => {
      if (end.process.run === run) {
        end.process.post(end.onBroken, true);
      }
    });
  }
}

function createDirection(from: SimProcess, to: SimProcess): Direction {
  return { from, to, waiting: [], lastArrival: 0, blockedSince: null };
}
