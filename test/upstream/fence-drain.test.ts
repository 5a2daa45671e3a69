import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { SessionRequest } from '../../src/lease/types.js';
import {
  createFence,
  createNodeHandler,
  type Fence,
  HEALTH_PATH,
  SESSION_PATH,
} from '../../src/upstream/index.js';

const SHARD = 'sheets/all@5/0';
const LEASE_ENDS_AT = 1000;

describe('drain of a fence', () => {
  let now: number;
  let fence: Fence;
  let server: Server;

  async function grantShard(): Promise<void> {
    const request: SessionRequest = {
      cluster: 'c1',
      leader: 'm1',
      term: 1,
      sequence: 1,
      upstream: 'u1',
      incarnation: fence.incarnation,
      validUntil: LEASE_ENDS_AT,
      keyMap: {
        service: 'sheets',
        generation: 5,
        keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 1 }],
      },
      orders: [{ type: 'grant', shard: SHARD, epoch: 10, revision: 10 }],
      complete: true,
      drain: false,
    };
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}${SESSION_PATH}`;
    await fetch(url, { method: 'POST', body: JSON.stringify(request), headers: { connection: 'close' } });
  }

  beforeEach(async () => {
    now = 0;
    fence = createFence({ cluster: 'c1', upstream: 'u1', service: 'sheets', clock: () => now });
    server = createServer(createNodeHandler(fence, (_request, response) => void response.end()));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    await grantShard();
  });

  afterEach(() => {
    server.close();
  });

  it('keeps serving its shards while it holds a lease', async () => {
    const drained = fence.drain({ moveMillis: 500 });
    expect(fence.status()).to.include({ state: 'leaving', held: 1, leased: true });
    now = 500;
    await drained;
    expect(fence.status().state).to.equal('draining');
  });

  it('sends connection: close once it is drained, so that the server can be closed', async () => {
    now = LEASE_ENDS_AT + 1;
    const { port } = server.address() as AddressInfo;
    const paths = [SESSION_PATH, HEALTH_PATH, '/anything'];
    const connectionOf = async (path: string) => {
      const method = path === SESSION_PATH ? 'POST' : 'GET';
      const response = await fetch(`http://127.0.0.1:${port}${path}`, { method });
      await response.text();
      return response.headers.get('connection');
    };
    for (const path of paths) {
      expect(await connectionOf(path), `${path} before`).to.equal('keep-alive');
    }
    await fence.drain();
    for (const path of paths) {
      expect(await connectionOf(path), `${path} after`).to.equal('close');
    }
  });

  it('does not wait for moves of shards once its lease has expired', async () => {
    now = LEASE_ENDS_AT + 1;
    await fence.drain({ moveMillis: Number.POSITIVE_INFINITY });
    expect(fence.status()).to.include({ state: 'draining', held: 1, leased: false });
  });
});

describe('drain of a fence of a server without keys', () => {
  // Guards against requests that come on a connection just when the drained server closes it.
  it('closes connections with the answers to requests that run', async () => {
    let end: () => void = () => {};
    const fence = createFence({ cluster: 'c1', upstream: 'u1', service: 'sheets', keyed: false });
    const handler = createNodeHandler(fence, (_request, response) => {
      end = () => response.end();
    });
    const server = createServer(handler);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const answer = fetch(`http://127.0.0.1:${port}/orders`, { method: 'POST' });
    await once(server, 'request');
    const drained = fence.drain();
    expect(fence.status().state).to.equal('draining');
    end();
    expect((await answer).headers.get('connection')).to.equal('close');
    await drained;
    server.close();
  });
});
