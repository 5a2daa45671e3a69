/** Client of the operators' API. Finds the leader among several addresses and resends safely. */
import { randomUUID } from 'node:crypto';
import type { ClientRequest } from 'node:http';
import got, { type Got, RequestError, type Response } from 'got';
import type { AdminErrorBody } from '../control/admin/index.js';
import { toError } from '../errors/ternmount-error.js';
import type { Address, Revision } from '../model/identifiers.js';
import { HEADERS } from '../model/outcome.js';
import { limitReceivedBytes } from '../wire/http/received-bytes.js';
import { isFinalStatus } from '../wire/http/status.js';
import type { StatusBody } from './api-types.js';
import { ControlAnswerError, UnknownOutcomeError, UnreachableError } from './cli-error.js';
import type { CliIo } from './cli-io.js';

const STATUS_PATH = '/v1/status';
const CONNECT_TIMEOUT_MILLIS = 2000;
const ROUND_PAUSE_MILLIS = 250;
/** Timeout of one read attempt, so that a member that hangs doesn't block the others. */
const READ_TIMEOUT_MILLIS = 5000;
const CHANGE_TIMEOUT_MILLIS = 20_000;
/** Largest response that is read, head included: several times that of a large cluster. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
/** Error codes after which the request is retried, at another member or later. */
const RETRIED_CODES = new Set(['not-leader', 'unavailable', 'overloaded', 'outcome-unknown']);
/** Error codes of failed connections, where nothing was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

export interface ControlClientOptions {
  readonly addresses: readonly Address[];
  readonly token: string | null;
  /** Maximum time for one request, including attempts at all members. */
  readonly timeoutMillis: number;
}

/** A change to send. */
export interface ChangeRequest {
  readonly method: 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** Generated if omitted. */
  readonly requestId?: string | undefined;
  /** The `--request-id` value that resends the whole command; defaults to the request id. */
  readonly commandId?: string;
  /** Expected revision; 0 if the object must not exist, `null` for any. */
  readonly expected?: Revision | null;
}

/** The result of one attempt. */
type AttemptResult<Body> =
  | { readonly type: 'answered'; readonly body: Body; readonly status: number }
  /** Control answered with an error that a retry wouldn't change. */
  | { readonly type: 'refused'; readonly error: ControlAnswerError }
  /** `mayHaveRun`: a member may have received and executed the request. */
  | { readonly type: 'no-answer'; readonly reason: string; readonly mayHaveRun: boolean };

/** Response to a change or a read. */
export interface ControlAnswer<Body> {
  readonly body: Body;
  readonly status: number;
}

function isErrorBody(body: unknown): body is AdminErrorBody {
  return typeof (body as AdminErrorBody | null)?.error?.code === 'string';
}

function parseBody(response: Response<string>): unknown {
  try {
    return JSON.parse(response.body) as unknown;
  } catch {
    return undefined;
  }
}

function preconditionHeaders(expected: Revision | null | undefined): Record<string, string> {
  if (expected === null || expected === undefined) {
    return {};
  }
  return expected === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${expected}"` };
}

export class ControlClient {
  readonly #options: ControlClientOptions;
  readonly #io: CliIo;
  readonly #http: Got;
  /** Index of the member that last answered. */
  #preferred = 0;

  constructor(options: ControlClientOptions, io: CliIo) {
    this.#options = options;
    this.#io = io;
    const headers = options.token === null ? {} : { authorization: `Bearer ${options.token}` };
    this.#http = got.extend({
      headers,
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      responseType: 'text',
      signal: io.stopSignal,
    });
  }

  get addresses(): readonly Address[] {
    return this.#options.addresses;
  }

  /** Reads from any member that can answer. Throws `CliError`. */
  async read<Body>(path: string): Promise<Body> {
    const answer = await this.#tryAll<Body>((address) =>
      this.#try(address, 'GET', path, READ_TIMEOUT_MILLIS, {}),
    );
    return answer.body;
  }

  /** Reads the status from the leader, since only the leader has sessions. Throws `CliError`. */
  async readLeaderStatus(): Promise<StatusBody> {
    const answer = await this.#tryAll<StatusBody>(async (address) => {
      const result = await this.#try<StatusBody>(address, 'GET', STATUS_PATH, READ_TIMEOUT_MILLIS, {});
      const isUsable = result.type !== 'answered' || result.body.raft.role === 'leader';
      const reason = `${address}: isn't the leader`;
      return isUsable ? result : { type: 'no-answer', reason, mayHaveRun: false };
    });
    return answer.body;
  }

  /** Reads from one member, once. Throws `CliError`. */
  async readFrom<Body>(address: Address, path: string): Promise<Body> {
    const result = await this.#try<Body>(address, 'GET', path, READ_TIMEOUT_MILLIS, {});
    if (result.type === 'answered') {
      return result.body;
    }
    throw result.type === 'refused' ? result.error : new UnreachableError(result.reason);
  }

  /** Sends a change, retried with the same request id until its outcome is known. Throws `CliError`. */
  async change<Body>(request: ChangeRequest): Promise<ControlAnswer<Body>> {
    const requestId = request.requestId ?? randomUUID();
    const headers = { [HEADERS.requestId]: requestId, ...preconditionHeaders(request.expected) };
    const { method, path, body } = request;
    return this.#tryAll<Body>(
      (address) => this.#try(address, method, path, CHANGE_TIMEOUT_MILLIS, { headers, json: body }),
      request.commandId ?? requestId,
    );
  }

  async #tryAll<Body>(
    attempt: (address: Address) => Promise<AttemptResult<Body>>,
    commandId?: string,
  ): Promise<ControlAnswer<Body>> {
    const { addresses, timeoutMillis } = this.#options;
    const deadline = performance.now() + timeoutMillis;
    let reason = 'no member was tried';
    let mayHaveRun = false;
    while (!this.#io.stopSignal.aborted) {
      for (let offset = 0; offset < addresses.length; offset += 1) {
        const index = (this.#preferred + offset) % addresses.length;
        const result = await attempt(addresses[index] as Address);
        if (result.type === 'answered') {
          this.#preferred = index;
          return result;
        }
        if (result.type === 'refused') {
          throw result.error;
        }
        reason = result.reason;
        mayHaveRun ||= result.mayHaveRun;
      }
      if (performance.now() >= deadline) {
        break;
      }
      await this.#io.sleep(ROUND_PAUSE_MILLIS);
    }
    if (commandId !== undefined && mayHaveRun) {
      throw new UnknownOutcomeError(commandId, reason);
    }
    throw new UnreachableError(`no control member gave an answer (last: ${reason})`);
  }

  async #try<Body>(
    address: Address,
    method: 'GET' | ChangeRequest['method'],
    path: string,
    requestMillis: number,
    extras: { readonly headers?: Record<string, string>; readonly json?: unknown },
  ): Promise<AttemptResult<Body>> {
    const timeout = {
      connect: CONNECT_TIMEOUT_MILLIS,
      request: Math.min(requestMillis, this.#options.timeoutMillis),
    };
    try {
      const pending = this.#http(`http://${address}${path}`, { ...extras, method, timeout });
      pending.on('request', (outgoing: ClientRequest) =>
        limitReceivedBytes(outgoing, MAX_RESPONSE_BYTES, () =>
          outgoing.destroy(new Error(`a response of more than ${MAX_RESPONSE_BYTES} bytes`)),
        ),
      );
      return this.#readAnswer(address, (await pending) as Response<string>);
    } catch (thrown) {
      const error = toError(thrown);
      const code = error instanceof RequestError ? error.code : '';
      const unsent = UNSENT_CODES.has(code) || error.message.includes("'connect'");
      return { type: 'no-answer', reason: `${address}: ${error.message}`, mayHaveRun: !unsent };
    }
  }

  #readAnswer<Body>(address: Address, response: Response<string>): AttemptResult<Body> {
    const { statusCode: status } = response;
    const body = parseBody(response);
    const isFinal = isFinalStatus(status);
    if (isFinal && status < 300 && body !== undefined) {
      return { type: 'answered', body: body as Body, status };
    }
    if (!isFinal || !isErrorBody(body)) {
      return { type: 'no-answer', reason: `${address}: HTTP status ${status}`, mayHaveRun: true };
    }
    if (RETRIED_CODES.has(body.error.code)) {
      const mayHaveRun = body.error.code === 'outcome-unknown';
      return { type: 'no-answer', reason: `${address}: ${body.error.message}`, mayHaveRun };
    }
    return { type: 'refused', error: new ControlAnswerError(status, body) };
  }
}
