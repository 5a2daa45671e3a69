/** Opens connections to upstreams over given paths, only to learn whether that is possible. */
import { connect, type Socket } from 'node:net';
import type { Address } from '../../model/identifiers.js';
import { PATH_OUTCOMES, type PathOutcome } from '../../routing/paths/path-outcome.js';
import { parseAddress } from '../../wire/address.js';
import type { RelayDialer } from '../relay/relay-dialer.js';
import type { RelayOpenFailure } from '../relay/relay-error.js';
import type { PathToUpstream } from './upstream-pools.js';

/** Opening packets are sent at these times, so that a single lost one isn't taken for a lost path. */
const SEND_AT_MILLIS = [0, 40, 80] as const;
/** Time limit of a direct try, and how many usual times it is at least. */
const DIRECT_MILLIS = 120;
const USUAL_TIMES = 4;
/** Time limit of a try over a relay, which may be busy and gives its own connection 150 ms. */
const RELAYED_MILLIS = 400;

/** Errors of this machine, which say nothing of the path. */
const LOCAL_ERRORS: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'EADDRNOTAVAIL', 'EAGAIN']);

const OUTCOME_OF_RELAY: Readonly<Record<RelayOpenFailure, PathOutcome>> = {
  refused: PATH_OUTCOMES.refused,
  silent: PATH_OUTCOMES.silent,
  // It accepted the connection, so it was reached.
  'turned-away': PATH_OUTCOMES.reached,
  'unknown-upstream': PATH_OUTCOMES.noRelay,
  'no-path': PATH_OUTCOMES.noRelay,
  busy: PATH_OUTCOMES.noRelay,
  stopping: PATH_OUTCOMES.noRelay,
  lost: PATH_OUTCOMES.noRelay,
};

export interface PathTriesOptions {
  readonly dialer: RelayDialer;
  readonly localAddress?: string | undefined;
  /** Time that a direct connection to an address usually takes; `undefined`: not known. */
  readonly usualConnectMillis: (address: Address) => number | undefined;
}

export class PathTries {
  readonly #options: PathTriesOptions;

  constructor(options: PathTriesOptions) {
    this.#options = options;
  }

  /** Calls back once. */
  try({ upstream, address, via }: PathToUpstream, done: (outcome: PathOutcome) => void): void {
    const { dialer, localAddress, usualConnectMillis } = this.#options;
    if (via === null) {
      const usual = usualConnectMillis(address) ?? 0;
      const limitMillis = Math.max(DIRECT_MILLIS, usual * USUAL_TIMES);
      new DirectTry({ address, localAddress, limitMillis }, done);
      return;
    }
    dialer.open({ peer: via, upstream, timeoutMillis: RELAYED_MILLIS }, (error, stream) => {
      stream?.destroy();
      done(error === null ? PATH_OUTCOMES.reached : OUTCOME_OF_RELAY[error.failure]);
    });
  }
}

interface DirectTryOptions {
  readonly address: Address;
  readonly localAddress: string | undefined;
  readonly limitMillis: number;
}

class DirectTry {
  readonly #options: DirectTryOptions;
  readonly #done: (outcome: PathOutcome) => void;
  readonly #timers: NodeJS.Timeout[];
  readonly #sockets: Socket[] = [];
  #isOver = false;

  constructor(options: DirectTryOptions, done: (outcome: PathOutcome) => void) {
    this.#options = options;
    this.#done = done;
    // What has arrived while this process was held up is handled before the limit counts.
    const onLimit = (): void => void setImmediate(() => this.#finish(PATH_OUTCOMES.silent));
    this.#timers = [
      ...SEND_AT_MILLIS.map((millis) => setTimeout(() => this.#send(), millis)),
      setTimeout(onLimit, options.limitMillis),
    ];
  }

  #send(): void {
    const { address, localAddress } = this.#options;
    const socket = connect({ ...parseAddress(address), ...(localAddress && { localAddress }) });
    this.#sockets.push(socket);
    socket.once('connect', () => this.#finish(PATH_OUTCOMES.reached));
    socket.on('error', ({ code = '' }: NodeJS.ErrnoException) => {
      if (code === 'ECONNREFUSED') {
        this.#finish(PATH_OUTCOMES.refused);
      } else if (LOCAL_ERRORS.has(code)) {
        this.#finish(PATH_OUTCOMES.unknown);
      }
    });
  }

  #finish(outcome: PathOutcome): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#done(outcome);
  }
}
