/**
 * Answers connections on which something came that is no whole request. Left to itself, the HTTP server would write such an
 * answer also where requests before it still run, and their caller would take it for the answer to one of them. It waits until
 * those are answered.
 */
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

/** What was wrong with the bytes of a caller. */
export type RequestFault = 'malformed' | 'header-too-large' | 'too-slow';

/** An answer in JSON with headers of the listener's own. */
export interface FaultAnswer {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: object;
}

export type DescribeFault = (fault: RequestFault) => FaultAnswer;

/** The caller closed its connection in the middle of a request. */
const ENDED_MIDWAY = 'HPE_INVALID_EOF_STATE';

const STATUSES: Readonly<Record<RequestFault, number>> = {
  malformed: 400,
  'header-too-large': 431,
  'too-slow': 408,
};

/** Requests of one connection. */
interface Exchanges {
  /** Those whose answer isn't whole yet. */
  open: number;
  last: IncomingMessage;
  /** What came behind them, until they are answered. */
  fault: RequestFault | null;
}

export class RequestFaults {
  private readonly exchanges = new WeakMap<Socket, Exchanges>();

  constructor(
    server: Server,
    private readonly describe: DescribeFault,
  ) {
    server.on('request', (request, response) => this.count(request, response));
    server.on('clientError', (error, socket) => this.take(error, socket as Socket));
  }

  private count(request: IncomingMessage, response: ServerResponse): void {
    const known = this.exchanges.get(request.socket);
    const exchanges = known ?? { open: 0, last: request, fault: null };
    exchanges.open += 1;
    exchanges.last = request;
    if (known === undefined) {
      this.exchanges.set(request.socket, exchanges);
    }
    response.once('close', () => {
      exchanges.open -= 1;
      if (exchanges.fault !== null && !mayRun(exchanges)) {
        this.answer(exchanges.fault, request.socket);
      }
    });
  }

  private take(error: NodeJS.ErrnoException, socket: Socket): void {
    const fault = faultOf(error.code);
    const exchanges = this.exchanges.get(socket);
    const runs = exchanges !== undefined && mayRun(exchanges);
    if (!socket.writable || (runs && error.code === ENDED_MIDWAY)) {
      socket.destroySoon();
      return;
    }
    if (fault === 'too-slow' && socket.isPaused()) {
      // It isn't read, so nobody knows how slow its caller is.
      return;
    }
    if (runs) {
      exchanges.fault ??= fault;
      return;
    }
    this.answer(fault, socket);
  }

  private answer(fault: RequestFault, socket: Socket): void {
    if (socket.writable) {
      socket.write(this.answerTo(fault));
    }
    socket.destroySoon();
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

/** Whether a request that came whole has no whole answer yet; none runs before it came whole. */
function mayRun({ open, last }: Exchanges): boolean {
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
