/** Records what policies see, for whoever asks on the admin port: `GET /v1/policy-trace`, one JSON object a line. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PolicyTraceRecord } from '../policy/index.js';

export const POLICY_TRACE_PATH = '/v1/policy-trace';

const OK = 200;
const BAD_REQUEST = 400;
const FORBIDDEN = 403;
const SERVICE_UNAVAILABLE = 503;
const DEFAULT_RECORDS = 1000;
const MOST_RECORDS = 1_000_000;
const DEFAULT_SECONDS = 10;
const MOST_SECONDS = 600;
/** Traces recorded at once. */
const MOST_TRACES = 4;
const MILLIS_PER_SECOND = 1000;

/** One trace under way. Records that its reader is too slow for are left out. */
interface Trace {
  readonly service: string | null;
  readonly response: ServerResponse;
  left: number;
}

export class PolicyTraces {
  private readonly traces = new Set<Trace>();

  /** `switchOn`: the core is to tell what policies see, or not any more. */
  constructor(private readonly switchOn: (on: boolean) => void) {}

  /** Serves `?service=NAME&records=N&seconds=S`; ends after so many records or so long. */
  serve(request: IncomingMessage, response: ServerResponse): void {
    if (!isSameMachine(request.socket)) {
      refuse(response, FORBIDDEN, 'traces hold keys: ask from the machine of the router');
      return;
    }
    const query = new URL(request.url ?? '/', 'http://router').searchParams;
    const records = readBound(query.get('records'), DEFAULT_RECORDS, MOST_RECORDS);
    const seconds = readBound(query.get('seconds'), DEFAULT_SECONDS, MOST_SECONDS);
    if (records === null || seconds === null) {
      refuse(response, BAD_REQUEST, `records: 1 to ${MOST_RECORDS}, seconds: 1 to ${MOST_SECONDS}`);
    } else if (this.traces.size >= MOST_TRACES) {
      refuse(response, SERVICE_UNAVAILABLE, `${MOST_TRACES} traces are being recorded`);
    } else {
      this.begin({ service: query.get('service'), response, left: records }, seconds);
    }
  }

  take(record: PolicyTraceRecord): void {
    for (const trace of this.traces) {
      if (trace.service === null || trace.service === record.context.request.service) {
        this.write(trace, record);
      }
    }
  }

  /** Ends all traces. */
  stop(): void {
    for (const { response } of this.traces) {
      response.end();
    }
  }

  private begin(trace: Trace, seconds: number): void {
    const { response } = trace;
    const timer = setTimeout(() => response.end(), seconds * MILLIS_PER_SECOND);
    response.on('close', () => {
      clearTimeout(timer);
      this.traces.delete(trace);
      this.switchOn(this.traces.size > 0);
    });
    response.writeHead(OK, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    this.traces.add(trace);
    this.switchOn(true);
  }

  private write(trace: Trace, record: PolicyTraceRecord): void {
    const { response } = trace;
    if (trace.left === 0 || response.writableNeedDrain) {
      return;
    }
    trace.left -= 1;
    response.write(`${JSON.stringify(record)}\n`);
    if (trace.left === 0) {
      response.end();
    }
  }
}

/** Whether the other end of a connection is on this machine; there are no tokens on a router's admin port. */
export function isSameMachine(ends: Pick<Socket, 'remoteAddress' | 'localAddress'>): boolean {
  const remote = plainAddress(ends.remoteAddress);
  const isLoopback = remote === '::1' || remote.startsWith('127.');
  return isLoopback || (remote !== '' && remote === plainAddress(ends.localAddress));
}

/** IPv4 addresses stand in IPv6 ones on sockets that take both. */
function plainAddress(address: string | undefined): string {
  return (address ?? '').replace(/^::ffff:/i, '');
}

/** A whole number of 1 to `most`; `null` if it is none. */
function readBound(text: string | null, otherwise: number, most: number): number | null {
  const value = text === null ? otherwise : Number(text);
  return Number.isInteger(value) && value >= 1 && value <= most ? value : null;
}

function refuse(response: ServerResponse, status: number, message: string): void {
  const body = JSON.stringify({ error: message });
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
}
