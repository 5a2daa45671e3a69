/** Calls of the members' HTTP API as the users' platform makes them: a second for an answer, and two redirects followed. */
import { type Agent, request } from 'node:http';

const TIMEOUT_MILLIS = 1000;
const MAX_REDIRECTS = 2;
const REDIRECT = 307;

export interface ControlAnswer {
  /** 0: no whole answer. */
  readonly status: number;
  readonly body: string;
}

interface ControlCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: object;
  /** Keeps connections open, those without an answer in time included; by default each call has one of its own. */
  readonly agent?: Agent;
}

export async function callControl(address: string, call: ControlCall): Promise<ControlAnswer> {
  let target = address;
  for (let hops = 0; ; hops += 1) {
    const { status, body, location } = await callOnce(target, call);
    if (status !== REDIRECT || location === undefined || hops === MAX_REDIRECTS) {
      return { status, body };
    }
    target = new URL(location).host;
  }
}

export async function postJson(address: string, path: string, body: object): Promise<number> {
  return (await callControl(address, { method: 'POST', path, body })).status;
}

function callOnce(
  address: string,
  call: ControlCall,
): Promise<ControlAnswer & { readonly location?: string | undefined }> {
  const [host = '', port = ''] = address.split(':');
  const bytes = call.body === undefined ? '' : JSON.stringify(call.body);
  const headers = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(bytes),
    ...call.headers,
  };
  return new Promise((resolve) => {
    const { path, method, agent = false } = call;
    const outgoing = request({ host, port, path, method, agent, headers });
    const fail = (): void => {
      clearTimeout(timer);
      resolve({ status: 0, body: '' });
    };
    const giveUp = agent === false ? () => outgoing.destroy() : fail;
    const timer = setTimeout(giveUp, TIMEOUT_MILLIS);
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', fail);
      response.on('aborted', fail);
      response.on('end', () => {
        clearTimeout(timer);
        const { location } = response.headers;
        resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString(), location });
      });
    });
    outgoing.end(bytes);
  });
}
