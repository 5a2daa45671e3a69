/** Checks of whether a process listens at an address, as opposed to an unreachable machine. */
import { type AddressInfo, createServer } from 'node:net';
import { expect } from 'chai';
import { checkRun } from '../../src/router/attempts/run-check.js';
import type { RunCheck } from '../../src/routing/types.js';

const TIMEOUT_MILLIS = 300;

function check(address: string): Promise<RunCheck> {
  return new Promise((resolve) => checkRun(address, { timeoutMillis: TIMEOUT_MILLIS }, resolve));
}

describe('a check of an upstream run', () => {
  it('finds a listening run without sending it any data, and one that has ended', async () => {
    let receivedBytes = 0;
    const server = createServer((socket) => {
      socket.on('data', ({ length }) => {
        receivedBytes += length;
      });
      socket.on('error', () => {});
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    expect(await check(`127.0.0.1:${port}`)).to.equal('there');
    await new Promise<void>((resolve) => server.close(() => resolve()));
    expect(receivedBytes).to.equal(0);
    expect(await check(`127.0.0.1:${port}`)).to.equal('gone');
  });
});
