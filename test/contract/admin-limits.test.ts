/** Bounds of the operators' HTTP port: sizes, and callers that send slowly. */
import { connect } from 'node:net';
import { expect } from 'chai';
import { AdminHarness, GOOD_SERVICE, WRITE_TOKEN } from './admin-harness.js';

const BODY_LIMIT = 4096;

/** Sends bytes and gives all that comes back until the other end closes. */
function converse(address: string, bytes: string): Promise<string> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) });
    let received = '';
    socket.on('connect', () => socket.write(bytes));
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', (error: NodeJS.ErrnoException) =>
      error.code === 'ECONNRESET' ? resolve(received) : reject(error),
    );
    socket.on('close', () => resolve(received));
  });
}

const HEAD = `PUT /v1/services/menu HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${WRITE_TOKEN}\r\n`;

describe("bounds of the operators' port", () => {
  const harness = new AdminHarness();
  before(() => harness.start({ headersMillis: 100, requestMillis: 200, keepAliveMillis: 100 }, BODY_LIMIT));
  after(() => harness.stop());

  const closed: readonly (readonly [string, string, string])[] = [
    ['a header that never ends', 'PUT /v1/services/menu HTTP/1.1\r\nHost: a\r\n', '408'],
    ['a connection on which nothing comes', '', ''],
    ['a body that never ends', `${HEAD}Content-Length: 100\r\n\r\n{"a`, '408'],
    ['headers above the bound', `GET / HTTP/1.1\r\nHost: a\r\nA: ${'x'.repeat(20_000)}\r\n\r\n`, '431'],
    ['bytes that are no HTTP', '\u0000\u0001\u0002\r\n\r\n', '400'],
    ['two lengths', `${HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}`, '400'],
    ['length and chunks', `${HEAD}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, '400'],
  ];
  for (const [name, bytes, status] of closed) {
    it(`${name}: the connection is closed`, async () => {
      const before = harness.state();
      const answer = await converse(harness.address, bytes);
      expect(answer === '' || answer.startsWith(`HTTP/1.1 ${status}`), answer).to.equal(true);
      expect(harness.state()).to.equal(before);
    });
  }

  it('a body above the bound, announced: 413, nothing changed', async () => {
    const body = { ...GOOD_SERVICE, filler: 'x'.repeat(BODY_LIMIT) };
    const answer = await harness.write('PUT', '/v1/services/menu', body);
    expect(answer.status).to.equal(413);
    expect(answer.headers.connection).to.equal('close');
    expect(harness.registry.services().size).to.equal(0);
  });

  it('a body above the bound, in chunks: 413, nothing changed', async () => {
    const chunk = `1000\r\n${' '.repeat(0x1000)}\r\n`;
    const answer = await converse(
      harness.address,
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunk}${chunk}0\r\n\r\n`,
    );
    expect(answer).to.match(/^HTTP\/1.1 413/);
    expect(harness.registry.services().size).to.equal(0);
  });
});
