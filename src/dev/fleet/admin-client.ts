/** Talks to the operators' HTTP API of a control cluster, whichever member leads. */

import { setTimeout as delay } from 'node:timers/promises';
import got, { type Got, HTTPError } from 'got';
import type { OperatorResponse } from '../../control/types.js';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { Address } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../model/service.js';
import type { ShardRecord } from '../../registry/types.js';
import { makeUuidV7 } from '../standins/caller/uuid-v7.js';

const ATTEMPTS = 60;
const ATTEMPT_TIMEOUT_MILLIS = 6000;
const RETRY_DELAY_MILLIS = 250;
/** Answers after which another member, or the same one later, may do better. */
const RETRIABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

export type ControlStatus = Omit<Extract<OperatorResponse, { type: 'status' }>, 'type'>;

/** No member carried a request out. */
export class AdminUnavailableError extends TernmountError {
  constructor(path: string, cause: Error) {
    const options = { code: 'TERNMOUNT_ADMIN_UNAVAILABLE', retriable: true, cause, info: { path } };
    super(options, `no control member carried out ${path}`);
  }
}

interface AdminCall {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

export class AdminClient {
  readonly #members: readonly Address[];
  readonly #http: Got;
  #next = 0;

  /** `members` are the admin addresses; connections go out from `localAddress`. */
  constructor(members: readonly Address[], localAddress: string) {
    this.#members = members;
    this.#http = got.extend({
      retry: { limit: 0 },
      timeout: { request: ATTEMPT_TIMEOUT_MILLIS },
      localAddress,
    });
  }

  /** Returns once the change is in force everywhere. */
  async applyService(definition: ServiceDefinition): Promise<void> {
    await this.#call({ method: 'PUT', path: `/v1/services/${definition.name}`, body: definition });
  }

  async applyUpstream(definition: UpstreamDefinition): Promise<void> {
    await this.#call({ method: 'PUT', path: `/v1/upstreams/${definition.id}`, body: definition });
  }

  async drain(upstream: string, leaving: boolean): Promise<void> {
    await this.#call({ method: 'POST', path: `/v1/upstreams/${upstream}/drain`, body: { leaving } });
  }

  async status(): Promise<ControlStatus> {
    return (await this.#call({ method: 'GET', path: '/v1/status' })) as ControlStatus;
  }

  async shards(): Promise<readonly ShardRecord[]> {
    const answer = (await this.#call({ method: 'GET', path: '/v1/shards' })) as { shards: ShardRecord[] };
    return answer.shards;
  }

  /** One request, at one member after the other; a change keeps its request id, so it is made once. */
  async #call(call: AdminCall): Promise<unknown> {
    const requestId = makeUuidV7(Date.now());
    let lastError = new Error('not tried');
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
      const member = this.#members[this.#next % this.#members.length] as Address;
      try {
        return await this.#callMember(member, call, requestId);
      } catch (thrown) {
        lastError = toError(thrown);
        if (thrown instanceof HTTPError && !RETRIABLE_STATUSES.has(thrown.response.statusCode)) {
          throw new AdminUnavailableError(`${call.path}: ${String(thrown.response.body)}`, lastError);
        }
        this.#next += 1;
        await delay(this.#next % this.#members.length === 0 ? RETRY_DELAY_MILLIS : 0);
      }
    }
    throw new AdminUnavailableError(call.path, lastError);
  }

  async #callMember(member: Address, call: AdminCall, requestId: string): Promise<unknown> {
    const text = await this.#http(`http://${member}${call.path}`, {
      method: call.method,
      headers: { [HEADERS.requestId]: requestId },
      ...(call.body === undefined ? {} : { json: call.body }),
    }).text();
    return JSON.parse(text);
  }
}
