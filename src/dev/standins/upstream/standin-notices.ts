/** Writes the notices of a stand-in upstream into its response headers, and records the requests that arrive while it has any. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { DEFAULT_HEADER_NAMES } from '../../../model/header-names.js';
import { HEADERS } from '../../../model/outcome.js';
import type { JournalWriter } from '../../journal/journal-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { ConstraintReport } from '../../journal/records.js';
import type { FaultSwitchboard } from './fault-switchboard.js';
import { callerRequestOf, type UpstreamIdentity } from './run-recorder.js';

/** Far below the load that the deployments put on one upstream. */
const LIMIT_PER_SECOND = 2;
const BACKOFF_SECONDS = 2;
const MILLIS_PER_SECOND = 1000;
const SERVICE_UNAVAILABLE = 503;

export class StandinNotices {
  readonly #faults: FaultSwitchboard;
  readonly #journal: JournalWriter;
  readonly #identity: UpstreamIdentity;
  #hadNotices = false;
  /** Once draining, an upstream keeps draining until its process ends. */
  #isLeaving = false;

  constructor(faults: FaultSwitchboard, journal: JournalWriter, identity: UpstreamIdentity) {
    this.#faults = faults;
    this.#journal = journal;
    this.#identity = identity;
  }

  /** Sets the notice headers. Returns `true` if the request was rejected and the response is complete. */
  write(request: IncomingMessage, response: ServerResponse): boolean {
    const notices = this.#currentNotices();
    const hasNotices = notices.limitPerSecond !== null || notices.restMillis !== null || notices.isLeaving;
    this.#hadNotices ||= hasNotices;
    if (!this.#hadNotices) {
      return false;
    }
    this.#record('needy-arrival', request, notices);
    if (hasNotices) {
      response.on('finish', () => this.#record('need-said', request, notices));
    }
    if (notices.limitPerSecond !== null) {
      response.setHeader(DEFAULT_HEADER_NAMES.limit, notices.limitPerSecond);
    }
    if (notices.isLeaving) {
      response.setHeader(DEFAULT_HEADER_NAMES.leaving, '1');
    }
    if (notices.restMillis !== null) {
      this.#reject(request, response);
    }
    return notices.restMillis !== null;
  }

  get isLeaving(): boolean {
    this.#isLeaving ||= this.#faults.needs('says-leaving');
    return this.#isLeaving;
  }

  #currentNotices(): ConstraintReport {
    return {
      limitPerSecond: this.#faults.needs('names-limit') ? LIMIT_PER_SECOND : null,
      restMillis: this.#faults.needs('asks-rest') ? BACKOFF_SECONDS * MILLIS_PER_SECOND : null,
      isLeaving: this.isLeaving,
    };
  }

  #reject(request: IncomingMessage, response: ServerResponse): void {
    const id = request.headers[HEADERS.requestId];
    response.writeHead(SERVICE_UNAVAILABLE, {
      [HEADERS.requestId]: String(id ?? ''),
      [HEADERS.outcome]: 'not-run',
      [HEADERS.reason]: 'overloaded',
      'retry-after': String(BACKOFF_SECONDS),
      'content-length': '0',
    });
    response.end();
  }

  #record(type: 'needy-arrival' | 'need-said', request: IncomingMessage, notices: ConstraintReport): void {
    const { upstream, incarnation } = this.#identity;
    const id = request.headers[HEADERS.requestId];
    const routerRequest = typeof id === 'string' ? id : null;
    const base = { at: machineMillis(), wall: Date.now(), upstream, incarnation, routerRequest, ...notices };
    this.#journal.write(
      type === 'need-said' ? { type, ...base } : { type, ...base, request: callerRequestOf(request) },
    );
  }
}
