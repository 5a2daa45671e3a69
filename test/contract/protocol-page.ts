/** Reads the exchanges of docs/UPSTREAM-PROTOCOL.md and replays them over a socket. */
import { connect } from 'node:net';

/** One request of the page with the answer it names. */
export interface PageExchange {
  /** What the upstream's clock shows. */
  readonly clock: number;
  readonly request: string;
  readonly response: string;
  /** Only the status line of the answer is given. */
  readonly statusOnly: boolean;
}

const EXCHANGE = /^```http request at=(\d+)\n(.*?)^```\n\n```http response( status only)?\n(.*?)^```/gms;
/** Headers that the page leaves out. */
const OMITTED = /^(date|connection|keep-alive):/i;

/** Exchanges in the order of the page. */
export function readExchanges(page: string): PageExchange[] {
  return [...page.matchAll(EXCHANGE)].map(([, clock = '', request = '', statusOnly, response = '']) => ({
    clock: Number(clock),
    request,
    response: response.trimEnd(),
    statusOnly: statusOnly !== undefined,
  }));
}

/** Number of requests on the page, replayed or not. */
export function countRequests(page: string): number {
  return [...page.matchAll(/^```http request/gm)].length;
}

/** The bytes of a request: lines end with CR LF, and a body comes with its length. */
function requestBytes(text: string): Buffer {
  const [head = '', body = ''] = text.split('\n\n', 2);
  const content = body.trimEnd();
  const lines = [...head.split('\n'), 'Connection: close'];
  if (content !== '') {
    lines.push(`Content-Length: ${Buffer.byteLength(content)}`);
  }
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n${content}`);
}

/** An answer as the page writes it: headers in lower case, without those that it leaves out. */
export function normaliseAnswer(bytes: string): string {
  const [head = '', body = ''] = bytes.split('\r\n\r\n', 2);
  const [status = '', ...headers] = head.split('\r\n');
  const kept = headers.filter((header) => !OMITTED.test(header));
  const lower = kept.map((header) => header.replace(/^[^:]+/, (name) => name.toLowerCase()));
  return [status, ...lower, '', body].join('\n').trimEnd();
}

/** Sends a request of the page and gives the answer's bytes. */
export function replay(address: string, request: string): Promise<string> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) });
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk as Buffer));
    socket.on('error', reject);
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('utf8')));
    socket.write(requestBytes(request));
  });
}
