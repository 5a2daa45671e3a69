/** A router core with modelled connections to upstreams over a network that can cut it off. */

import type { RouterToControl } from '../../src/control/messages.js';
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { AttemptResult, RouterEffect } from '../../src/routing/types.js';
import type { CutNetwork, End } from './cut-network.js';
import type { CutRequest, CutUpstream } from './cut-upstream.js';
import { CONFIG, RouterHarness } from './router-harness.js';

const CONNECT_TIMEOUT_MILLIS = 500;
/** Share of answers after which the upstream closes the connection. */
const CLOSED_SHARE = 0.05;
/** A new connection is used once it has stayed open for this time. */
const SETTLE_MILLIS = 3;

type Dispatch = Extract<RouterEffect, { readonly type: 'dispatch' }>;

interface Connection {
  readonly upstream: CutUpstream;
  isClosed: boolean;
  attempt: number | null;
}

interface OpenAttempt {
  readonly upstream: CutUpstream;
  connection: Connection | null;
  request: CutRequest | null;
}

/** How a router answered a call. */
export type CallEnd =
  | { readonly type: 'delivered' }
  | {
      readonly type: 'refused';
      readonly outcome: string;
      readonly reason: string;
      readonly retryAfterMillis: number | null;
    };

export interface CutRouterParts {
  readonly time: EventQueue;
  readonly network: CutNetwork;
  readonly upstreams: ReadonlyMap<string, CutUpstream>;
  readonly toControl: (router: CutRouter, message: RouterToControl) => void;
  readonly ended: (call: number, end: CallEnd) => void;
  readonly logged: (router: string, event: string, fields: Readonly<Record<string, unknown>>) => void;
}

export interface CutCall {
  readonly number: number;
  readonly path: string;
  readonly key: string | null;
  readonly method: string;
  readonly fingerprint: string;
  readonly deadlineMillis: number;
  readonly workMillis: number;
}

export class CutRouter implements End {
  readonly harness: RouterHarness;
  readonly #parts: CutRouterParts;
  readonly #idle = new Map<string, Connection[]>();
  readonly #connections = new Set<Connection>();
  readonly #attempts = new Map<number, OpenAttempt>();
  /** Calls by the number of their request at this router. */
  readonly #calls = new Map<number, CutCall>();
  readonly #random: RandomSource;
  #tickAt = Number.POSITIVE_INFINITY;
  #isStopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    seed: number,
    parts: CutRouterParts,
  ) {
    this.#parts = parts;
    this.#random = new RandomSource(seed);
    this.harness = new RouterHarness({ ...CONFIG, router: name, zone, seed, whenOutOfTouch: 'serve' });
    this.harness.now = parts.time.now;
  }

  /** Number of connections that this router has opened. */
  opened = 0;

  step(act: (harness: RouterHarness) => readonly RouterEffect[]): void {
    if (this.#isStopped) {
      return;
    }
    this.harness.now = Math.max(this.harness.now, this.#parts.time.now);
    this.#carryOut(act(this.harness));
    this.harness.effects.length = 0;
    this.#schedule();
  }

  /** Ends the process: its connections close, its callers get nothing. */
  stop(): void {
    this.#isStopped = true;
    for (const connection of [...this.#connections]) {
      this.#close(connection);
    }
  }

  receive(call: CutCall): void {
    this.#calls.set(this.harness.nextRequest, call);
    const { key, method, fingerprint, deadlineMillis } = call;
    const place = { host: 'fleet.example', path: call.path };
    this.step((harness) =>
      harness.request('', { place, key, method, fingerprint, deadlineMillis, target: call.path }),
    );
  }

  /** Resets the open connections to an upstream, as a device on the path does. */
  resetConnections(upstream: string): void {
    for (const connection of [...this.#connections]) {
      if (connection.upstream.name === upstream) {
        const { attempt } = connection;
        this.#close(connection);
        if (attempt !== null) {
          this.#end(attempt, { type: 'broken', how: 'reset' });
        }
      }
    }
  }

  #schedule(): void {
    const at = Math.max(this.harness.core.nextDeadline(), this.#parts.time.now);
    if (at >= this.#tickAt && this.#tickAt > this.#parts.time.now) {
      return;
    }
    this.#tickAt = at;
    this.#parts.time.at(at, () => {
      if (this.#tickAt === this.#parts.time.now) {
        this.#tickAt = Number.POSITIVE_INFINITY;
        this.step((harness) => harness.step({ type: 'tick' }));
      }
    });
  }

  #carryOut(effects: readonly RouterEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'dispatch':
          this.#dispatch(effect);
          break;
        case 'deliver':
          this.#finish(effect.request, { type: 'delivered' });
          break;
        case 'refuse': {
          const { outcome, reason, retryAfterMillis } = effect;
          this.#finish(effect.request, { type: 'refused', outcome, reason, retryAfterMillis });
          break;
        }
        case 'cancel-attempt':
          this.#cancel(effect.attempt);
          break;
        case 'recall-unsent':
          this.#recall(effect.upstream);
          break;
        case 'check-run':
          this.#checkRun(effect.run, effect.address);
          break;
        case 'send-control':
          this.#parts.toControl(this, effect.message);
          break;
        case 'log':
          this.#parts.logged(this.name, effect.event, effect.fields);
          break;
        default:
      }
    }
  }

  #finish(request: number, end: CallEnd): void {
    const call = this.#calls.get(request);
    this.#calls.delete(request);
    if (call !== undefined) {
      this.#parts.ended(call.number, end);
    }
  }

  #dispatch(effect: Dispatch): void {
    const upstream = this.#parts.upstreams.get(effect.upstream) as CutUpstream;
    const attempt: OpenAttempt = { upstream, connection: null, request: null };
    this.#attempts.set(effect.attempt, attempt);
    const kept = this.#idle.get(upstream.name)?.pop();
    if (kept !== undefined) {
      this.#send(effect, attempt, kept);
      return;
    }
    this.#connect(upstream, (connection) => {
      if (!this.#attempts.has(effect.attempt)) {
        this.#release(connection);
      } else if (connection === null) {
        this.#end(effect.attempt, { type: 'connect-failed' });
      } else if (connection === 'refused') {
        this.#end(effect.attempt, { type: 'connect-failed', refused: true });
      } else {
        this.#send(effect, attempt, connection);
      }
    });
  }

  #connect(upstream: CutUpstream, done: (connection: Connection | 'refused' | null) => void): void {
    const { time, network } = this.#parts;
    let isOver = false;
    const finish = (connection: Connection | 'refused' | null): void => {
      if (!isOver) {
        isOver = true;
        done(connection);
      }
    };
    time.after(CONNECT_TIMEOUT_MILLIS, () => finish(null));
    network.open(this, upstream, (opening) => {
      if (isOver || opening === 'lost') {
        return;
      }
      if (opening === 'refused' || upstream.isDead) {
        finish('refused');
        return;
      }
      const connection: Connection = { upstream, isClosed: false, attempt: null };
      this.#connections.add(connection);
      this.opened += 1;
      time.after(SETTLE_MILLIS, () => finish(connection));
    });
  }

  #release(connection: Connection | 'refused' | null): void {
    if (connection === null || connection === 'refused' || connection.isClosed) {
      return;
    }
    connection.attempt = null;
    const { name } = connection.upstream;
    this.#idle.set(name, [...(this.#idle.get(name) ?? []), connection]);
  }

  #close(connection: Connection): void {
    connection.isClosed = true;
    this.#connections.delete(connection);
    const { name } = connection.upstream;
    this.#idle.set(
      name,
      (this.#idle.get(name) ?? []).filter((idle) => idle !== connection),
    );
  }

  #send(effect: Dispatch, attempt: OpenAttempt, connection: Connection): void {
    const { network } = this.#parts;
    const { upstream } = attempt;
    const call = this.#calls.get(effect.request);
    attempt.connection = connection;
    connection.attempt = effect.attempt;
    if (connection.isClosed || call === undefined) {
      this.#end(effect.attempt, { type: 'broken', how: 'reset' });
      return;
    }
    const request: CutRequest = {
      call: call.number,
      workMillis: call.workMillis,
      isGone: false,
      respond: (load) =>
        network.carry(upstream, this, true, () => {
          if (!connection.isClosed) {
            this.#answered(effect.attempt, load);
          }
        }),
    };
    attempt.request = request;
    network.carry(this, upstream, false, () => {
      // Bytes that were held up are lost with their connection.
      if (!connection.isClosed && !upstream.isDead) {
        upstream.enqueue(request);
      }
    });
  }

  #answered(attempt: number, load: number | null): void {
    this.#end(
      attempt,
      load === null
        ? { type: 'refused', refusal: 'overloaded', retryAfterMillis: null }
        : { type: 'answered', status: 200, load, stored: null },
    );
  }

  #cancel(number: number): void {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    const wasSent = attempt.request !== null;
    if (attempt.request !== null) {
      attempt.request.isGone = true;
    }
    this.#parts.time.after(0, () => this.#end(number, { type: wasSent ? 'cancelled' : 'connect-failed' }));
  }

  #recall(upstream: string): void {
    for (const [number, attempt] of this.#attempts) {
      if (attempt.upstream.name === upstream && attempt.request === null) {
        this.#parts.time.after(0, () => this.#end(number, { type: 'connect-failed', recalled: true }));
      }
    }
  }

  #checkRun(run: string, address: string): void {
    const upstream = [...this.#parts.upstreams.values()].find(({ name }) => addressOf(name) === address);
    const finish = (check: 'there' | 'gone' | 'silent'): void =>
      this.step((harness) => harness.step({ type: 'run-checked', run, check }));
    if (upstream === undefined) {
      finish('gone');
      return;
    }
    this.#connect(upstream, (connection) => {
      if (connection === null || connection === 'refused') {
        finish(connection === null ? 'silent' : 'gone');
        return;
      }
      this.#close(connection);
      finish('there');
    });
  }

  #end(number: number, result: AttemptResult): void {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    this.#attempts.delete(number);
    const { connection } = attempt;
    const isWhole = result.type === 'answered' || result.type === 'refused';
    if (connection !== null && isWhole && this.#random.fraction() >= CLOSED_SHARE) {
      this.#release(connection);
    } else if (connection !== null) {
      this.#close(connection);
    }
    this.step((harness) => harness.ended(number, result));
  }
}

/** Address of a modelled upstream, from its name. */
export function addressOf(upstream: string): string {
  return `127.1.0.1:${upstream.replace(/\D/g, '')}`;
}
