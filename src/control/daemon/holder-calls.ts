/**
 * Task that calls upstreams with plain grants over HTTP. If a call times out, its connection is reset. Answers carry no id, and an upstream may
 * send one a second time, so calls whose answers could be confused share no connection.
 */
import { Agent, type ClientRequestArgs, type IncomingMessage, request } from 'node:http';
import type { Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { HolderProtocol } from '../../model/holder-protocol.js';
import type { Epoch, UpstreamId } from '../../model/identifiers.js';
import { parseAddress } from '../../wire/address.js';
import { limitReceivedBytes } from '../../wire/http/received-bytes.js';
import type { GrantCall, HolderCall, HolderCallId, HolderOutcome } from '../ranges/holder-call.js';

export interface HolderCallsOptions {
  readonly protocol: HolderProtocol;
  /** Timeout of grants. */
  readonly grantMillis: number;
  /** Timeout of releases, which upstreams answer once running requests have ended. */
  readonly releaseMillis: number;
  readonly localAddress?: string | undefined;
  readonly log: Logger;
  readonly ended: (call: HolderCallId, outcome: HolderOutcome) => void;
}

const CONNECTIONS_PER_UPSTREAM = 4;
const KEEP_ALIVE_MILLIS = 4000;
/** Largest response to a call, head included. A longer one says nothing of whether the call was carried out. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const OK = 200;
const CONFLICT = 409;
/** Status if the run at the address isn't the one that the call names. */
const MISDIRECTED_REQUEST = 421;

/** The circumstances of a call, for the log. */
interface CallCircumstances {
  readonly startedAt: number;
  /** Number of calls that its connection had carried before; `null`: it got none. */
  earlierCalls: number | null;
}

interface CallRequestArgs extends ClientRequestArgs {
  /** Run that the call names. */
  readonly run: UpstreamId;
}

/** Keeps the connections of each run apart, so that no 421 to a call for one run stands for the answer to a call for another. */
class GrantAgent extends Agent {
  override getName(options: Partial<CallRequestArgs> = {}): string {
    return `${super.getName(options)}:${options.run ?? ''}`;
  }
}

/** A single connection to an upstream whose runs share its id. Its remote end is the same run for its whole lifetime. */
class RunConnection {
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: KEEP_ALIVE_MILLIS });
  /** Fences of grants sent over this connection. */
  readonly fences = new Set<Epoch>();
  #socket: Socket | null = null;

  /** Whether a request uses the same socket as the requests before it. */
  isSameSocket(socket: Socket): boolean {
    this.#socket ??= socket;
    return this.#socket === socket;
  }

  get isEnded(): boolean {
    return this.#socket?.destroyed ?? false;
  }
}

export class HolderCalls {
  private readonly runConnections = new Map<UpstreamId, RunConnection>();
  private readonly agent = new GrantAgent({
    keepAlive: true,
    maxSockets: CONNECTIONS_PER_UPSTREAM,
    timeout: KEEP_ALIVE_MILLIS,
  });

  /** Number of calls that each connection has carried. */
  private readonly callCounts = new WeakMap<Socket, number>();

  constructor(private readonly options: HolderCallsOptions) {}

  /** Makes a call; `ended` is called exactly once with its outcome. A call that can't be written isn't sent. */
  call(call: HolderCall): void {
    try {
      this.send(call);
    } catch (thrown) {
      const { kind, upstream, address } = call;
      const reason = toError(thrown).message;
      this.options.log.warn('holder-call-unsendable', { kind, upstream, address, reason });
      queueMicrotask(() => this.report(call, { type: 'not-sent' }, notCarried()));
    }
  }

  private send(call: HolderCall): void {
    const { protocol, grantMillis, releaseMillis, localAddress } = this.options;
    const isGrant = call.kind === 'grant';
    const { host, port } = parseAddress(call.address);
    const body = JSON.stringify(bodyOf(call));
    let socket: Socket | undefined;
    let isConnected = false;
    let isEnded = false;
    const circumstances = notCarried();
    const end = (outcome: HolderOutcome): void => {
      if (!isEnded) {
        isEnded = true;
        clearTimeout(timer);
        this.report(call, outcome, circumstances);
      }
    };
    const connection = isGrant ? this.connectionFor(call) : null;
    if (isGrant && call.isBound && connection?.fences.has(call.fence) !== true) {
      queueMicrotask(() => this.report(call, { type: 'unbound' }, circumstances));
      return;
    }
    connection?.fences.add(call.fence);
    const args: CallRequestArgs = {
      // The answer to a release frees keys, so a release has a connection of its own.
      agent: isGrant && (connection?.agent ?? this.agent),
      run: call.upstream,
      host,
      port,
      method: 'POST',
      path: isGrant ? protocol.grantPath : protocol.releasePath,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [protocol.instanceHeader]: call.upstream,
      },
      ...(localAddress && { localAddress }),
    };
    const outgoing = request(args);
    const giveUp = (): void => {
      end({ type: isConnected ? 'silent' : 'not-sent' });
      reset(socket);
      outgoing.destroy();
    };
    const timer = setTimeout(giveUp, isGrant ? grantMillis : releaseMillis);
    limitReceivedBytes(outgoing, MAX_RESPONSE_BYTES, giveUp);
    outgoing.on('socket', (assigned) => {
      socket = assigned;
      isConnected = !assigned.connecting;
      if (connection?.isSameSocket(assigned) === false) {
        // The connection closed between two calls and the agent opened another one, to which nothing has been written.
        end({ type: 'unbound' });
        outgoing.destroy();
        return;
      }
      circumstances.earlierCalls = this.countCall(assigned);
      if (assigned.connecting) {
        assigned.once('connect', () => {
          isConnected = true;
        });
      }
    });
    outgoing.on('response', (response) => {
      response.resume();
      response.on('end', () => end(this.outcomeOf(response)));
      response.on('error', () => end({ type: 'silent' }));
      response.on('close', () => end({ type: 'silent' }));
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => end(failureOf(error, isConnected)));
    outgoing.end(body);
  }

  stop(): void {
    this.agent.destroy();
    for (const { agent } of this.runConnections.values()) {
      agent.destroy();
    }
  }

  /** The connection for grants to an upstream whose runs share its id; `null` if the id identifies the run, so that any connection may be used. */
  private connectionFor({ upstream, run }: GrantCall): RunConnection | null {
    if (run === upstream) {
      return null;
    }
    const existing = this.runConnections.get(upstream);
    if (existing !== undefined && !existing.isEnded) {
      return existing;
    }
    existing?.agent.destroy();
    const created = new RunConnection();
    this.runConnections.set(upstream, created);
    return created;
  }

  private outcomeOf({ statusCode = 0, headers }: IncomingMessage): HolderOutcome {
    if (statusCode === OK) {
      const handover = headers[this.options.protocol.handoverHeader];
      return { type: 'accepted', handover: typeof handover === 'string' ? handover : null };
    }
    if (statusCode === MISDIRECTED_REQUEST) {
      return { type: 'ended' };
    }
    return statusCode === CONFLICT ? { type: 'superseded' } : { type: 'rejected', status: statusCode };
  }

  /** Returns the number of calls that a connection carried before this one. */
  private countCall(socket: Socket): number {
    const earlierCalls = this.callCounts.get(socket) ?? 0;
    this.callCounts.set(socket, earlierCalls + 1);
    return earlierCalls;
  }

  private report(
    call: HolderCall,
    outcome: HolderOutcome,
    { startedAt, earlierCalls }: CallCircumstances,
  ): void {
    const { kind, upstream, from, to, fence } = call;
    const tookMillis = Math.round((performance.now() - startedAt) * 10) / 10;
    const fields = { kind, upstream, from, to, fence, outcome, tookMillis, earlierCalls };
    if (outcome.type === 'accepted' && kind !== 'release') {
      this.options.log.sample('holder-call-ended', () => fields);
    } else {
      this.options.log.info('holder-call-ended', fields);
    }
    this.options.ended(call.id, outcome);
  }
}

function notCarried(): CallCircumstances {
  return { startedAt: performance.now(), earlierCalls: null };
}

function bodyOf(call: HolderCall): object {
  const { from, to, fence } = call;
  if (call.kind === 'release') {
    return { from, to, fence };
  }
  const { holdMillis, handover } = call;
  return { from, to, fence, holdMillis, ...(handover !== null && { handover }) };
}

function failureOf(error: NodeJS.ErrnoException, isConnected: boolean): HolderOutcome {
  if (isConnected) {
    return { type: 'silent' };
  }
  return { type: error.code === 'ECONNREFUSED' ? 'refused' : 'not-sent' };
}

/** Resets the connection, so that undelivered data can't arrive later. */
function reset(socket: Socket | undefined): void {
  if (socket !== undefined && !socket.destroyed && !socket.connecting) {
    socket.resetAndDestroy();
  }
}
