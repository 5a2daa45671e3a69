/** A router core with modelled connections to upstreams over a network that can cut it off. */

import type { RouterToControl } from '../../src/control/messages.js';
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { AttemptResult, RouterEffect } from '../../src/routing/types.js';
import type { CutNetwork, End } from './cut-network.js';
import type { CutRequest, CutUpstream } from './cut-upstream.js';
import { CONFIG, RouterHarness } from './router-harness.js';

const CONNECT_TIMEOUT_MILLIS = 500;
const TRY_MILLIS = 120;
/** Opening packets of a direct try are sent at these times. */
const TRY_SEND_AT_MILLIS = [0, 40, 80];
const RELAY_TRY_MILLIS = 400;
/** Time that a relay gives its own connection to an upstream. */
const RELAY_CONNECT_MILLIS = 150;
/** Round trips to a relay before it connects: connection, handshake, request. */
const RELAY_ROUND_TRIPS = 3;
/** Share of answers after which the upstream closes the connection. */
const CLOSED_SHARE = 0.05;
/** A new connection is used once it has stayed open for this time. */
const SETTLE_MILLIS = 3;

type Dispatch = Extract<RouterEffect, { readonly type: 'dispatch' }>;

interface Connection {
  readonly upstream: CutUpstream;
  readonly relay: CutRouter | null;
  isClosed: boolean;
  attempt: number | null;
}

interface OpenAttempt {
  readonly upstream: CutUpstream;
  readonly via: string | null;
  connection: Connection | null;
  request: CutRequest | null;
}

/** An open connection, or why there is none. */
type Opened = Connection | 'refused' | 'silent' | 'no-relay' | 'no-path';

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
  /** The running router of a name. */
  readonly routerOf: (name: string) => CutRouter | undefined;
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
  isStopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    seed: number,
    parts: CutRouterParts,
  ) {
    this.#parts = parts;
    this.#random = new RandomSource(seed);
    this.harness = new RouterHarness({
      ...CONFIG,
      router: name,
      zone,
      seed,
      whenOutOfTouch: 'serve',
      relayAddress: `${name}:1`,
    });
    this.harness.now = parts.time.now;
  }

  /** Number of connections that this router has opened. */
  opened = 0;
  /** Numbers of checked paths, which cost a connection each. */
  readonly pathTries = { direct: 0, relayed: 0 };

  step(act: (harness: RouterHarness) => readonly RouterEffect[]): void {
    if (this.isStopped) {
      return;
    }
    this.harness.now = Math.max(this.harness.now, this.#parts.time.now);
    this.#carryOut(act(this.harness));
    this.harness.effects.length = 0;
    this.#schedule();
  }

  /** Ends the process: its connections close, its callers get nothing. */
  stop(): void {
    this.isStopped = true;
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
      if (connection.upstream.name === upstream && connection.relay === null) {
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
        case 'try-path':
          this.#tryPath(effect);
          break;
        case 'close-path':
          this.#closePath(effect);
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
    const via = effect.via?.router ?? null;
    const attempt: OpenAttempt = { upstream, via, connection: null, request: null };
    this.#attempts.set(effect.attempt, attempt);
    const kept = this.#idle.get(poolOf(upstream.name, via))?.pop();
    if (kept !== undefined) {
      this.#send(effect, attempt, kept);
      return;
    }
    this.#connect(upstream, via, CONNECT_TIMEOUT_MILLIS, (opened) => {
      if (!this.#attempts.has(effect.attempt)) {
        this.#release(opened);
      } else if (opened === 'silent') {
        this.#end(effect.attempt, { type: 'connect-failed' });
      } else if (opened === 'refused') {
        this.#end(effect.attempt, { type: 'connect-failed', refused: true });
      } else if (opened === 'no-relay') {
        this.#end(effect.attempt, { type: 'connect-failed', relayFailure: 'lost' });
      } else if (opened === 'no-path') {
        this.#end(effect.attempt, { type: 'connect-failed', relayFailure: 'no-path' });
      } else {
        this.#send(effect, attempt, opened);
      }
    });
  }

  #tryPath({ number, upstream: name, via }: Extract<RouterEffect, { readonly type: 'try-path' }>): void {
    const upstream = this.#parts.upstreams.get(name) as CutUpstream;
    this.pathTries[via === null ? 'direct' : 'relayed'] += 1;
    let isOver = false;
    const finish = (opened: Opened): void => {
      const isOpen = typeof opened !== 'string';
      if (isOpen) {
        this.#close(opened);
      }
      if (!isOver) {
        isOver = true;
        const failed = opened === 'no-path' ? 'no-relay' : opened;
        const outcome = typeof failed === 'string' ? failed : 'reached';
        this.step((harness) => harness.step({ type: 'path-tried', number, outcome }));
      }
    };
    if (via !== null) {
      this.#connect(upstream, via.router, RELAY_TRY_MILLIS, finish);
      return;
    }
    for (const millis of TRY_SEND_AT_MILLIS) {
      this.#parts.time.after(millis, () => {
        if (!isOver) {
          this.#connect(upstream, null, TRY_MILLIS - millis, finish);
        }
      });
    }
  }

  #connect(
    upstream: CutUpstream,
    via: string | null,
    limitMillis: number,
    done: (opened: Opened) => void,
  ): void {
    const { time, network, routerOf } = this.#parts;
    let isOver = false;
    const finish = (opened: Opened): void => {
      if (!isOver) {
        isOver = true;
        done(opened);
      }
    };
    time.after(limitMillis, () => finish(via === null ? 'silent' : 'no-relay'));
    if (via === null) {
      this.#open(upstream, null, finish);
      return;
    }
    const relay = routerOf(via);
    const roundTrip = relay === undefined ? 1 : network.delay(this, relay) + network.delay(relay, this);
    time.after(roundTrip * RELAY_ROUND_TRIPS, () => {
      if (relay === undefined || relay.isStopped) {
        finish('no-relay');
        return;
      }
      relay.carry(upstream.name, (reachable) => {
        if (reachable === 'reachable') {
          this.#open(upstream, relay, finish);
        } else {
          finish(reachable);
        }
      });
    });
  }

  /** Asks this router's core whether it reaches an upstream, and connects for another router. */
  carry(upstream: string, done: (reachable: 'reachable' | 'refused' | 'silent' | 'no-path') => void): void {
    const { time, network, upstreams } = this.#parts;
    let target: Extract<RouterEffect, { readonly type: 'relay-target' }>['target'] | undefined;
    this.step((harness) => {
      const effects = harness.step({ type: 'relay-requested', number: 1, upstream });
      for (const effect of effects) {
        target = effect.type === 'relay-target' ? effect.target : target;
      }
      return effects;
    });
    if (target?.type !== 'address') {
      done('no-path');
      return;
    }
    let isOver = false;
    const finish = (reachable: 'reachable' | 'refused' | 'silent'): void => {
      if (!isOver) {
        isOver = true;
        done(reachable);
      }
    };
    const server = upstreams.get(upstream) as CutUpstream;
    time.after(RELAY_CONNECT_MILLIS, () => finish('silent'));
    network.open(this, server, (opening) => {
      if (opening === 'refused' || server.isDead) {
        finish('refused');
      } else if (opening === 'open') {
        finish('reachable');
      }
    });
  }

  #open(upstream: CutUpstream, relay: CutRouter | null, finish: (opened: Opened) => void): void {
    const { time, network } = this.#parts;
    const accept = (): void => {
      const connection: Connection = { upstream, relay, isClosed: false, attempt: null };
      this.#connections.add(connection);
      this.opened += 1;
      time.after(SETTLE_MILLIS, () => finish(connection));
    };
    if (relay !== null) {
      accept();
      return;
    }
    network.open(this, upstream, (opening) => {
      if (opening === 'refused' || upstream.isDead) {
        finish('refused');
      } else if (opening === 'open') {
        accept();
      }
    });
  }

  #release(connection: Opened): void {
    if (typeof connection === 'string' || connection.isClosed) {
      return;
    }
    connection.attempt = null;
    const pool = poolOf(connection.upstream.name, connection.relay?.name ?? null);
    this.#idle.set(pool, [...(this.#idle.get(pool) ?? []), connection]);
  }

  /** Closes the idle connections of a path; busy ones go on. */
  #closePath({ address, via }: Extract<RouterEffect, { readonly type: 'close-path' }>): void {
    for (const connection of [...this.#connections]) {
      const isOfPath =
        addressOf(connection.upstream.name) === address && (connection.relay?.name ?? null) === via;
      if (isOfPath && connection.attempt === null) {
        this.#close(connection);
      }
    }
  }

  #close(connection: Connection): void {
    connection.isClosed = true;
    this.#connections.delete(connection);
    const pool = poolOf(connection.upstream.name, connection.relay?.name ?? null);
    this.#idle.set(
      pool,
      (this.#idle.get(pool) ?? []).filter((idle) => idle !== connection),
    );
  }

  #send(effect: Dispatch, attempt: OpenAttempt, connection: Connection): void {
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
        this.#carryBack(connection, () => {
          if (!connection.isClosed) {
            this.#answered(effect.attempt, load);
          }
        }),
    };
    attempt.request = request;
    this.#carryOver(connection, () => {
      // Bytes that were held up are lost with their connection.
      if (!connection.isClosed && !upstream.isDead) {
        upstream.enqueue(request);
      }
    });
  }

  #carryOver({ upstream, relay }: Connection, deliver: () => void): void {
    const { network, time } = this.#parts;
    if (relay === null) {
      network.carry(this, upstream, false, deliver);
    } else {
      time.after(network.delay(this, relay), () => network.carry(relay, upstream, false, deliver));
    }
  }

  #carryBack({ upstream, relay }: Connection, deliver: () => void): void {
    const { network, time } = this.#parts;
    network.carry(upstream, relay ?? this, true, () =>
      relay === null ? deliver() : time.after(network.delay(relay, this), deliver),
    );
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
    this.#connect(upstream, null, CONNECT_TIMEOUT_MILLIS, (opened) => {
      if (typeof opened === 'string') {
        finish(opened === 'refused' ? 'gone' : 'silent');
        return;
      }
      this.#close(opened);
      finish('there');
    });
  }

  /** Resets the connections that a router which ends has carried for this one. */
  relayEnded(relay: CutRouter): void {
    for (const connection of [...this.#connections].filter((open) => open.relay === relay)) {
      const { attempt } = connection;
      this.#close(connection);
      if (attempt !== null) {
        this.#end(attempt, { type: 'broken', how: 'relay-lost' });
      }
    }
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

function poolOf(upstream: string, via: string | null): string {
  return `${upstream} ${via ?? ''}`;
}
