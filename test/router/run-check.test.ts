/** Whether anything listens at an address, told apart from a machine that says nothing. */
import { type AddressInfo, createServer } from 'node:net';
import { expect } from 'chai';
import { checkRun } from '../../src/router/attempts/run-check.js';
import type { RunCheck } from '../../src/routing/types.js';

const TIMEOUT_MILLIS = 300;

function check(address: string): Promise<RunCheck> {
  return new Promise((resolve) => checkRun(address, { timeoutMillis: TIMEOUT_MILLIS }, resolve));
}

describe('a look at the run of an upstream', () => {
  it('finds one that listens, and sends it nothing', async () => {
    let received = 0;
    const server = createServer((socket) => {
      socket.on('data', ({ length }) => {
        received += length;
      });
      socket.on('error', () => {});
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    expect(await check(`127.0.0.1:${port}`)).to.equal('there');
    await new Promise<void>((resolve) => server.close(() => resolve()));
    expect(received).to.equal(0);
    expect(await check(`127.0.0.1:${port}`)).to.equal('gone');
  });
});
