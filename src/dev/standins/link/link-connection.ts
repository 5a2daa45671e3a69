/** One forwarded TCP connection: two directions, each delayed, held or refused by the current rules. */
import { connect, type Socket } from 'node:net';
import type { ForwardedSockets } from './connection-endings.js';
import type { ZoneRules } from './zone-rules.js';

/** Source and target of a connection. */
export interface ConnectionEnds {
  readonly sourceZone: string;
  /** Whether the source is a caller. */
  readonly isCallers: boolean;
  readonly targetZone: string;
  readonly targetHost: string;
  readonly targetPort: number;
  /** One-way delay between zones; ignored within a zone. */
  readonly delayMillis: number;
}

interface Step {
  readonly dueAt: number;
  readonly action: () => void;
}

/** One direction: runs actions in order, each after the delay and none while the direction is held. */
class Direction {
  readonly #delayMillis: number;
  readonly #isHeld: () => boolean;
  readonly #steps: Step[] = [];

  constructor(delayMillis: number, isHeld: () => boolean) {
    this.#delayMillis = delayMillis;
    this.#isHeld = isHeld;
  }

  pass(action: () => void): void {
    this.#steps.push({ dueAt: performance.now() + this.#delayMillis, action });
    if (this.#delayMillis === 0) {
      this.flush();
    } else {
      setTimeout(() => this.flush(), this.#delayMillis);
    }
  }

  /** Runs the due actions, as a network that has recovered delivers retransmissions. */
  flush(): void {
    while (!this.#isHeld()) {
      const [next] = this.#steps;
      if (!next) {
        return;
      }
      const waitMillis = next.dueAt - performance.now();
      if (waitMillis > 0) {
        setTimeout(() => this.flush(), waitMillis);
        return;
      }
      this.#steps.shift();
      next.action();
    }
  }
}

/** Forwards bytes, the end of the stream and the end of the connection from one socket to another. */
function forward(from: Socket, to: Socket, direction: Direction): void {
  from.setNoDelay(true);
  const whileOpen = (action: () => void): void => direction.pass(() => !to.destroyed && action());
  from.on('data', (bytes) => whileOpen(() => to.write(bytes)));
  from.on('end', () => whileOpen(() => to.end()));
  from.on('error', () => whileOpen(() => to.resetAndDestroy()));
  from.on('close', () => whileOpen(() => to.destroy()));
}

export interface ForwardingEvents {
  /** Called if the target refuses the connection. */
  readonly onRefused: () => void;
  /** Called with the sockets of a connection that is forwarded. */
  readonly onOpened: (sockets: ForwardedSockets) => void;
}

/** Forwards between `inbound` and a new connection to the target until either ends or the rules refuse it. */
export function forwardConnection(
  inbound: Socket,
  ends: ConnectionEnds,
  rules: ZoneRules,
  { onRefused, onOpened }: ForwardingEvents,
): void {
  const { sourceZone, targetZone } = ends;
  const isRefused = (): boolean =>
    rules.stateOf(sourceZone, targetZone) === 'refuse' || rules.stateOf(targetZone, sourceZone) === 'refuse';
  inbound.on('error', () => {});
  if (isRefused()) {
    inbound.resetAndDestroy();
    return;
  }
  const outbound = connect({ host: ends.targetHost, port: ends.targetPort, allowHalfOpen: true });
  outbound.once('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNREFUSED') {
      onRefused();
    }
  });
  onOpened({ inbound, outbound, isCallers: ends.isCallers });
  const delayMillis = sourceZone === targetZone ? 0 : ends.delayMillis;
  const toTarget = new Direction(delayMillis, () => rules.stateOf(sourceZone, targetZone) === 'hold');
  const toSource = new Direction(delayMillis, () => rules.stateOf(targetZone, sourceZone) === 'hold');
  forward(inbound, outbound, toTarget);
  forward(outbound, inbound, toSource);
  const applyRules = (): void => {
    if (isRefused()) {
      inbound.resetAndDestroy();
      outbound.resetAndDestroy();
    }
    toTarget.flush();
    toSource.flush();
  };
  rules.on('changed', applyRules);
  let openSockets = 2;
  const closeOne = (): void => {
    openSockets -= 1;
    if (openSockets === 0) {
      rules.off('changed', applyRules);
    }
  };
  inbound.once('close', closeOne);
  outbound.once('close', closeOne);
}
