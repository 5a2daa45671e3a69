/** Ends forwarded connections in the ways in which real ones end: properly or by a reset, at one end or at both, or silently. */
import type { Socket } from 'node:net';
import type { RandomSource } from '../../virtual/random-source.js';

/** A forwarded connection. */
export interface ForwardedSockets {
  /** From the process that connected. */
  readonly inbound: Socket;
  /** To the process that listens. */
  readonly outbound: Socket;
  /** Whether it is a caller's: those never fall silent, since nothing would tell what became of their requests. */
  readonly isCallers: boolean;
}

type Ending = (sockets: ForwardedSockets) => void;

/** Nothing passes any more, and neither end learns of it. */
function silence({ inbound, outbound }: ForwardedSockets): void {
  for (const socket of [inbound, outbound]) {
    socket.removeAllListeners('data');
    socket.resume();
  }
}

function endBoth({ inbound, outbound }: ForwardedSockets): void {
  inbound.end();
  outbound.end();
}

function resetBoth({ inbound, outbound }: ForwardedSockets): void {
  inbound.resetAndDestroy();
  outbound.resetAndDestroy();
}

const ENDINGS: readonly Ending[] = [
  resetBoth,
  endBoth,
  ({ inbound }) => inbound.end(),
  ({ outbound }) => outbound.end(),
  ({ inbound }) => inbound.resetAndDestroy(),
  ({ outbound }) => outbound.resetAndDestroy(),
];

const ENDINGS_OR_SILENCE: readonly Ending[] = [silence, ...ENDINGS];

/** Interval at which connections are drawn. */
const DRAW_MILLIS = 50;

export class ConnectionEndings {
  readonly #random: RandomSource;
  readonly #open = new Set<ForwardedSockets>();
  #share = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  add(sockets: ForwardedSockets): void {
    this.#open.add(sockets);
    const remove = (): void => void this.#open.delete(sockets);
    sockets.inbound.once('close', remove);
    sockets.outbound.once('close', remove);
  }

  /** From now on ends this share of the open connections in each interval; 0: none. */
  setShare(share: number): void {
    this.#share = share;
    clearInterval(this.#timer);
    this.#timer = share > 0 ? setInterval(() => this.#draw(), DRAW_MILLIS) : undefined;
  }

  #draw(): void {
    for (const sockets of [...this.#open]) {
      if (this.#random.fraction() < this.#share) {
        this.#open.delete(sockets);
        const endings = sockets.isCallers ? ENDINGS : ENDINGS_OR_SILENCE;
        endings[Math.floor(this.#random.fraction() * endings.length)]?.(sockets);
      }
    }
  }
}
