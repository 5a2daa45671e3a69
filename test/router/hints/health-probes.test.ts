/** The path and result of health probes, and that they can be disabled. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { HealthProbes } from '../../../src/router/hints/health-probes.js';

describe('health probes', () => {
  const paths: (string | undefined)[] = [];
  let server: Server;
  let address: string;
  before(async () => {
    server = createServer((request, response) => {
      paths.push(request.url);
      response.writeHead(200, { 'ternmount-load': '3', 'content-length': 0 }).end();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  after(() => server.close());
  beforeEach(() => {
    paths.length = 0;
  });

  it('request the configured path and report status and load', async () => {
    const result = await new Promise((resolve) => {
      const probes = new HealthProbes({
        intervalMillis: 5,
        timeoutMillis: 1000,
        path: '/alive',
        result: (...values) => {
          probes.stop();
          resolve(values);
        },
      });
      probes.probe(new Map([['menu-1', address]]));
    });
    expect(result).to.deep.equal(['menu-1', true, 3]);
    expect(paths).to.deep.equal(['/alive']);
  });

  it('are disabled by an interval of 0', async () => {
    const results: unknown[] = [];
    const probes = new HealthProbes({
      intervalMillis: 0,
      timeoutMillis: 1000,
      path: '/alive',
      result: (...values) => results.push(values),
    });
    probes.probe(new Map([['menu-1', address]]));
    await sleep(50);
    probes.stop();
    expect(paths).to.have.length(0);
    expect(results).to.have.length(0);
  });
});
