/** Streams the inputs of policies on the admin port: `GET /v1/policy-trace`, one JSON object a line. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PolicyTraceRecord } from '../policy/index.js';

export const POLICY_TRACE_PATH = '/v1/policy-trace';

const OK = 200;
const BAD_REQUEST = 400;
const FORBIDDEN = 403;
const SERVICE_UNAVAILABLE = 503;
const DEFAULT_RECORDS = 1000;
const MAX_RECORDS = 1_000_000;
const DEFAULT_SECONDS = 10;
const MAX_SECONDS = 600;
/** Bound on traces recorded at once. */
const MAX_TRACES = 4;
const MILLIS_PER_SECOND = 1000;

/** One trace in progress. Records are dropped while its reader is too slow. */
interface Trace {
  readonly service: string | null;
  readonly response: ServerResponse;
  left: number;
}

export class PolicyTraces {
  private readonly traces = new Set<Trace>();

  /** `setEnabled` switches the recording of policy inputs in the core on or off. */
  constructor(private readonly setEnabled: (on: boolean) => void) {}

  /** Serves `?service=NAME&records=N&seconds=S`; ends after N records or S seconds, whichever comes first. */
  serve(request: IncomingMessage, response: ServerResponse): void {
    if (!isSameMachine(request.socket)) {
      refuse(response, FORBIDDEN, 'traces hold keys: ask from the machine of the router');
      return;
    }
    const query = new URL(request.url ?? '/', 'http://router').searchParams;
    const records = readBound(query.get('records'), DEFAULT_RECORDS, MAX_RECORDS);
    const seconds = readBound(query.get('seconds'), DEFAULT_SECONDS, MAX_SECONDS);
    if (records === null || seconds === null) {
      refuse(response, BAD_REQUEST, `records: 1 to ${MAX_RECORDS}, seconds: 1 to ${MAX_SECONDS}`);
    } else if (this.traces.size >= MAX_TRACES) {
      refuse(response, SERVICE_UNAVAILABLE, `${MAX_TRACES} traces are being recorded`);
    } else {
      this.start({ service: query.get('service'), response, left: records }, seconds);
    }
  }

  record(record: PolicyTraceRecord): void {
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

  private start(trace: Trace, seconds: number): void {
    const { response } = trace;
    const timer = setTimeout(() => response.end(), seconds * MILLIS_PER_SECOND);
    response.on('close', () => {
      clearTimeout(timer);
      this.traces.delete(trace);
      this.setEnabled(this.traces.size > 0);
    });
    response.writeHead(OK, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    this.traces.add(trace);
    this.setEnabled(true);
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

/** Whether the other end of a connection is on this machine. A router's admin port has no authentication by token. */
export function isSameMachine(ends: Pick<Socket, 'remoteAddress' | 'localAddress'>): boolean {
  const remote = unmappedAddress(ends.remoteAddress);
  const isLoopback = remote === '::1' || remote.startsWith('127.');
  return isLoopback || (remote !== '' && remote === unmappedAddress(ends.localAddress));
}

/** Dual-stack sockets report IPv4 addresses as IPv4-mapped IPv6 addresses. */
function unmappedAddress(address: string | undefined): string {
  return (address ?? '').replace(/^::ffff:/i, '');
}

/** Parses an integer from 1 to `max`; `null` if it isn't one. */
function readBound(text: string | null, fallback: number, max: number): number | null {
  const value = text === null ? fallback : Number(text);
  return Number.isInteger(value) && value >= 1 && value <= max ? value : null;
}

function refuse(response: ServerResponse, status: number, message: string): void {
  const body = JSON.stringify({ error: message });
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
}
