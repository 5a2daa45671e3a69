/**
 * Answers connections on which no whole request came. Left to itself, the HTTP server would write such an answer also
 * where a request still runs, and its caller would take it for the answer to that request. Such a connection is broken.
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
    const exchanges = known ?? { open: 0, last: request };
    exchanges.open += 1;
    exchanges.last = request;
    if (known === undefined) {
      this.exchanges.set(request.socket, exchanges);
    }
    response.once('close', () => {
      exchanges.open -= 1;
    });
  }

  private take(error: NodeJS.ErrnoException, socket: Socket): void {
    if (socket.writable && !this.mayRun(socket)) {
      socket.write(this.answerTo(faultOf(error.code)));
    }
    socket.destroySoon();
  }

  /** Whether a request that came whole has no whole answer yet; none runs before it came whole. */
  private mayRun(socket: Socket): boolean {
    const exchanges = this.exchanges.get(socket);
    if (exchanges === undefined) {
      return false;
    }
    return exchanges.open > (exchanges.last.complete ? 0 : 1);
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
