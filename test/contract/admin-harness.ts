/** The operators' API over a registry in memory, on a port of its own, with one token for each role. */
import { request as httpRequest } from 'node:http';
import { createAdminApp } from '../../src/control/admin/index.js';
import { findShards } from '../../src/control/shard-query.js';
import type { OperatorRequest, OperatorResponse } from '../../src/control/types.js';
import type { LogFields, Logger } from '../../src/logging/logger.js';
import { createRegistry, type Registry } from '../../src/registry/index.js';
import { findOperator, hashToken, type TokenRecord } from '../../src/security/operator-tokens.js';
import { DEFAULT_HTTP_LIMITS, type HttpLimits, HttpListener } from '../../src/wire/http/http-listener.js';

export const READ_TOKEN = 'tmt_reader';
export const WRITE_TOKEN = 'tmt_writer';
const EXPIRED_TOKEN = 'tmt_expired';

const RECORDS: readonly TokenRecord[] = [
  { name: 'reader', role: 'read', sha256: hashToken(READ_TOKEN), expires: null },
  { name: 'writer', role: 'write', sha256: hashToken(WRITE_TOKEN), expires: null },
  { name: 'gone', role: 'write', sha256: hashToken(EXPIRED_TOKEN), expires: '2020-01-01T00:00:00Z' },
];

/** Authorization headers that nobody may use. */
export const STRANGERS: readonly (readonly [string, string | undefined])[] = [
  ['no token', undefined],
  ['an unknown token', 'Bearer tmt_nobody'],
  ['an expired token', `Bearer ${EXPIRED_TOKEN}`],
  ['an empty token', 'Bearer '],
  ['the hash of a token', `Bearer ${hashToken(WRITE_TOKEN)}`],
  ['another scheme', `Basic ${Buffer.from(`writer:${WRITE_TOKEN}`).toString('base64')}`],
];

export interface AdminAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Record<string, unknown> & { error?: { code: string; message: string } };
}

export interface AdminCall {
  readonly method: string;
  readonly path: string;
  readonly authorization?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as it is if it is text, as JSON otherwise. */
  readonly body?: unknown;
}

function operateOn(registry: Registry): (request: OperatorRequest) => Promise<OperatorResponse> {
  return async (request) => {
    const { revision } = registry;
    switch (request.type) {
      case 'command': {
        const { requestId, actor, command } = request;
        const { result } = registry.apply(revision + 1, { requestId, actor, at: 0, command });
        return { type: 'result', result, inForce: request.wait };
      }
      case 'get-services':
        return { type: 'services', revision, services: [...registry.services().values()] };
      case 'get-upstreams':
        return { type: 'upstreams', revision, upstreams: [...registry.upstreams().values()] };
      case 'get-shards':
        return { type: 'shards', revision, shards: findShards(registry, request) };
      case 'get-ledger':
        return { type: 'ledger', record: registry.ledgerRecord(request.service, request.key) ?? null };
      case 'get-status':
        return statusOf(revision);
      default:
        return { type: 'rejected', message: 'not part of this harness' };
    }
  };
}

/** The status of a leader that is alone. */
function statusOf(revision: number): OperatorResponse {
  const membership = {
    voters: ['r-1'],
    outgoingVoters: [],
    learners: [],
    addresses: { 'r-1': '127.0.0.1:1' },
  };
  return {
    type: 'status',
    raft: {
      self: 'r-1',
      role: 'leader',
      term: 1,
      leader: 'r-1',
      commitIndex: revision,
      lastIndex: revision,
      firstIndex: 1,
      membership,
      matchIndexes: {},
    },
    revision,
    upstreams: [],
    services: [],
    routers: [],
    leaderSinceMillis: 0,
    unowned: [],
    waitingReplicas: [],
    memberSilentMillis: {},
    unownedShards: 0,
    movingShards: 0,
  };
}

const SILENT: Logger = { debug() {}, info() {}, warn() {}, error() {}, log() {}, sample() {} };

export class AdminHarness {
  readonly registry = createRegistry();
  /** Fields of each audit record, in order. */
  readonly audits: LogFields[] = [];
  /** Internal address of another member that leads; `null`: this one does. */
  leaderElsewhere: string | null = null;
  /** Whether the outcome of each request is unknown. */
  isOutcomeUnknown = false;
  #listener: HttpListener | undefined;

  async start(limits: Partial<HttpLimits> = {}, bodyLimitBytes?: number): Promise<void> {
    const audits = this.audits;
    const operateHere = operateOn(this.registry);
    const operate = async (request: OperatorRequest): Promise<OperatorResponse> => {
      if (this.isOutcomeUnknown) {
        return { type: 'unknown' };
      }
      return this.leaderElsewhere === null
        ? operateHere(request)
        : { type: 'not-leader', leader: this.leaderElsewhere };
    };
    const app = createAdminApp(operate, {
      tokens: { authenticate: (token) => findOperator(RECORDS, token, Date.UTC(2026, 0, 1)) },
      logger: SILENT,
      auditLogger: { ...SILENT, info: (_event, fields = {}) => void audits.push(fields) },
      ...(bodyLimitBytes === undefined ? {} : { bodyLimitBytes }),
    });
    this.#listener = await HttpListener.listen(
      '127.0.0.1:0',
      { ...DEFAULT_HTTP_LIMITS, ...limits },
      app.callback(),
    );
  }

  get address(): string {
    return this.#listener?.address ?? '';
  }

  async stop(): Promise<void> {
    await this.#listener?.stop({ idleMillis: 0, graceMillis: 0 });
  }

  /** What is in force, as text, to see that nothing changed. */
  state(): string {
    return JSON.stringify([...this.registry.services(), ...this.registry.upstreams()]);
  }

  call({ method, path, authorization, headers = {}, body }: AdminCall): Promise<AdminAnswer> {
    const text = typeof body === 'string' ? body : JSON.stringify(body ?? {});
    return new Promise((resolve, reject) => {
      const request = httpRequest(
        `http://${this.address}${path}`,
        {
          method,
          agent: false,
          headers: {
            'content-type': 'application/json',
            ...(method === 'GET' ? {} : { 'content-length': String(Buffer.byteLength(text)) }),
            ...(authorization === undefined ? {} : { authorization }),
            ...headers,
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('end', () => {
            const received = Buffer.concat(chunks).toString('utf8');
            const status = response.statusCode ?? 0;
            resolve({ status, headers: response.headers, body: received === '' ? {} : JSON.parse(received) });
          });
        },
      );
      request.on('error', reject);
      request.end(method === 'GET' ? undefined : text);
    });
  }

  /** A call with the token that may write. */
  write(method: string, path: string, body?: unknown, headers?: AdminCall['headers']): Promise<AdminAnswer> {
    const authorization = `Bearer ${WRITE_TOKEN}`;
    return this.call({ method, path, authorization, body, ...(headers === undefined ? {} : { headers }) });
  }
}

/** A service that is accepted. */
export const GOOD_SERVICE = {
  repeatable: true,
  keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 4 }],
};
/** An upstream of `menu` that is accepted. */
export const GOOD_UPSTREAM = { service: 'menu', address: '10.0.0.1:8080', zone: 'zone-a' };
