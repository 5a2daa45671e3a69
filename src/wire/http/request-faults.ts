/**
 * Responds to malformed or incomplete requests. By default the HTTP server would send the error response even while earlier
 * requests of the connection still run, and the caller would mistake it for the response to one of them. The error response is
 * therefore delayed until those are answered.
 */
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

/** Reasons for rejecting what a caller sent before it is a complete request. */
export type RequestFault = 'malformed' | 'header-too-large' | 'too-slow';

/** A JSON response with additional headers. */
export interface FaultAnswer {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: object;
}

export type DescribeFault = (fault: RequestFault) => FaultAnswer;

/** A fault that was answered, and the state of its connection at that moment. */
export interface AnsweredFault {
  readonly fault: RequestFault;
  readonly status: number;
  /** Address of the caller; empty if its connection is closed already. */
  readonly from: string;
  /** Requests of the connection without a complete response. */
  readonly open: number;
  /** Whether the last of its requests had come whole. */
  readonly isLastWhole: boolean;
  /** Bytes that were written to the connection before and hadn't left the process. */
  readonly unsentBytes: number;
}

/** Error code if the caller closed its connection in the middle of a request. */
const ENDED_MIDWAY = 'HPE_INVALID_EOF_STATE';

const STATUSES: Readonly<Record<RequestFault, number>> = {
  malformed: 400,
  'header-too-large': 431,
  'too-slow': 408,
};

/** State of the requests of one connection. */
interface Exchanges {
  /** Requests without a complete response. */
  open: number;
  last: IncomingMessage;
  /** Fault after these requests, until they are answered. */
  fault: RequestFault | null;
}

export class RequestFaults {
  private readonly exchanges = new WeakMap<Socket, Exchanges>();

  constructor(
    server: Server,
    private readonly describe: DescribeFault,
    private readonly onAnswered: (answered: AnsweredFault) => void,
  ) {
    server.on('request', (request, response) => this.track(request, response));
    server.on('clientError', (error, socket) => this.handleError(error, socket as Socket));
    // Without a listener the server destroys the connection. With one it leaves the socket to the listener, its errors included.
    server.on('connect', (_request, socket) => {
      socket.on('error', () => {});
      this.handleError(new Error('a tunnel was asked for'), socket as Socket);
    });
  }

  private track(request: IncomingMessage, response: ServerResponse): void {
    const existing = this.exchanges.get(request.socket);
    const exchanges = existing ?? { open: 0, last: request, fault: null };
    exchanges.open += 1;
    exchanges.last = request;
    if (existing === undefined) {
      this.exchanges.set(request.socket, exchanges);
    }
    response.once('close', () => {
      exchanges.open -= 1;
      if (exchanges.fault !== null && !hasRunningRequest(exchanges)) {
        this.answer(exchanges.fault, request.socket);
      }
    });
  }

  private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
    const fault = faultOf(error.code);
    const exchanges = this.exchanges.get(socket);
    const isRunning = exchanges !== undefined && hasRunningRequest(exchanges);
    if (!socket.writable || (isRunning && error.code === ENDED_MIDWAY)) {
      socket.destroySoon();
      return;
    }
    if (fault === 'too-slow' && socket.isPaused()) {
      // The server isn't reading from the socket, so the delay may not be the caller's.
      return;
    }
    if (isRunning) {
      exchanges.fault ??= fault;
      return;
    }
    this.answer(fault, socket);
  }

  private answer(fault: RequestFault, socket: Socket): void {
    if (socket.writable) {
      this.onAnswered(this.stateAt(fault, socket));
      socket.write(this.answerTo(fault));
    }
    socket.destroySoon();
  }

  private stateAt(fault: RequestFault, socket: Socket): AnsweredFault {
    const { open = 0, last } = this.exchanges.get(socket) ?? {};
    return {
      fault,
      status: STATUSES[fault],
      from: socket.remoteAddress ?? '',
      open,
      isLastWhole: last?.complete ?? true,
      unsentBytes: socket.writableLength,
    };
  }

  private answerTo(fault: RequestFault): string {
    const status = STATUSES[fault];
    const { headers, body } = this.describe(fault);
    const text = JSON.stringify(body);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return [
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
      'connection: close',
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(text)}`,
      ...lines,
      '',
      text,
    ].join('\r\n');
  }
}

/** Whether a complete request has no complete response yet; incomplete requests don't run. */
function hasRunningRequest({ open, last }: Exchanges): boolean {
  return open > (last.complete ? 0 : 1);
}

function faultOf(code: string | undefined): RequestFault {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return 'header-too-large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 'too-slow';
    default:
      return 'malformed';
  }
}
