/** Reads the state of a control cluster through its admin HTTP API, from any member. */

import { setTimeout as delay } from 'node:timers/promises';
import got, { type Got } from 'got';
import type { OperatorResponse } from '../../control/types.js';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { Address, Revision } from '../../model/identifiers.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../../registry/types.js';
import type { RouterStatus } from '../../routing/types.js';

const ATTEMPTS = 60;
const ATTEMPT_TIMEOUT_MILLIS = 2000;
const RETRY_DELAY_MILLIS = 100;

export type ControlStatus = Omit<Extract<OperatorResponse, { type: 'status' }>, 'type'>;

/** No control member answered. */
export class AdminUnavailableError extends TernmountError {
  constructor(path: string, cause: Error) {
    const options = { code: 'TERNMOUNT_ADMIN_UNAVAILABLE', retriable: true, cause, info: { path } };
    super(options, `no control member answered ${path}`);
  }
}

export class AdminClient {
  readonly #members: readonly Address[];
  readonly #http: Got;
  #next = 0;

  /** `members` are the admin addresses; outgoing connections use `localAddress`. */
  constructor(members: readonly Address[], localAddress: string) {
    this.#members = members;
    this.#http = got.extend({
      retry: { limit: 0 },
      timeout: { request: ATTEMPT_TIMEOUT_MILLIS },
      localAddress,
    });
  }

  /** Reads the status of one member. */
  async statusOf(member: Address): Promise<ControlStatus> {
    return (await this.#get(member, '/v1/status')) as ControlStatus;
  }

  /** Returns the leader with the highest term and its status; `undefined` if no member is leader. */
  async findLeader(): Promise<{ readonly admin: Address; readonly status: ControlStatus } | undefined> {
    const answers = await Promise.allSettled(
      this.#members.map(async (admin) => ({ admin, status: await this.statusOf(admin) })),
    );
    const leaders = answers.flatMap((answer) =>
      answer.status === 'fulfilled' && answer.value.status.raft.role === 'leader' ? [answer.value] : [],
    );
    return leaders.sort((left, right) => right.status.raft.term - left.status.raft.term)[0];
  }

  /** Linearizable read. */
  async shards(): Promise<readonly ShardRecord[]> {
    return ((await this.#read('/v1/shards')) as { shards: ShardRecord[] }).shards;
  }

  /** Linearizable read. */
  async services(): Promise<readonly ServiceRecord[]> {
    return ((await this.#read('/v1/services')) as { services: ServiceRecord[] }).services;
  }

  /** Linearizable read. */
  async upstreams(): Promise<readonly UpstreamRecord[]> {
    return ((await this.#read('/v1/upstreams')) as { upstreams: UpstreamRecord[] }).upstreams;
  }

  /** Sends a change of the declared document to one member after the other until one takes it; returns its revision. */
  async declare(method: 'PUT' | 'PATCH', expected: number, document: object): Promise<Revision> {
    const options = {
      method,
      json: document,
      headers: { 'if-match': String(expected) },
      methodRewriting: false,
    } as const;
    const answer = await this.#untilAnswered('/v1/declaration', (url) =>
      this.#http(url, options).json<{ revision: Revision }>(),
    );
    return answer.revision;
  }

  /** Reads the version of the declared document. */
  async declaredVersion(): Promise<number> {
    return ((await this.#read('/v1/declaration')) as { version: number }).version;
  }

  /** Reads the health status of a router; `undefined` if it doesn't answer. */
  async routerHealth(admin: Address): Promise<RouterStatus | undefined> {
    try {
      return await this.#http(`http://${admin}/healthz`, { throwHttpErrors: false }).json<RouterStatus>();
    } catch {
      return undefined;
    }
  }

  #read(path: string): Promise<unknown> {
    return this.#untilAnswered(path, (url) => this.#http(url).json());
  }

  async #untilAnswered<Answer>(path: string, ask: (url: string) => Promise<Answer>): Promise<Answer> {
    let lastError = new Error('not tried');
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
      const member = this.#members[this.#next % this.#members.length] as Address;
      try {
        return await ask(`http://${member}${path}`);
      } catch (thrown) {
        lastError = toError(thrown);
        this.#next += 1;
        await delay(RETRY_DELAY_MILLIS);
      }
    }
    throw new AdminUnavailableError(path, lastError);
  }

  async #get(member: Address, path: string): Promise<unknown> {
    return this.#http(`http://${member}${path}`).json();
  }
}
