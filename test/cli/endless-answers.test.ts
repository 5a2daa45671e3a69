/** A control member that answers a command without end: the command gives up soon, and tells why. */
import { type AddressInfo, createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { ControlClient } from '../../src/cli/control-client.js';
import { processIoFor } from '../contract/command-line-run.js';
import { ENDLESS_SHAPES, EndlessWriter } from '../platform/endless-writer.js';

const TIMEOUT_MILLIS = 10_000;
/** The most that is read, and what the system buffers between two processes. */
const MAX_WRITTEN_BYTES = 96 * 1024 * 1024;
const SHAPES = ENDLESS_SHAPES.filter(({ name }) =>
  ['a body in chunks', 'a body of a huge length'].includes(name),
);

describe('a member that answers a command without end', function suite() {
  this.timeout(60_000);
  const writer = new EndlessWriter();
  let member: Server;

  before(async () => {
    member = createServer((socket) => {
      socket.once('data', () => writer.answer({ socket, headers: {} }));
    });
    await new Promise<void>((resolve) => member.listen(0, '127.0.0.1', resolve));
  });

  after(() => {
    writer.stop();
    member.close();
  });

  for (const shape of SHAPES) {
    // Guards against a command that keeps all that it is sent, for as long as it waits.
    it(`is given up: ${shape.name}`, async () => {
      writer.reset(shape);
      const address = `127.0.0.1:${(member.address() as AddressInfo).port}`;
      const options = { addresses: [address], token: null, timeoutMillis: TIMEOUT_MILLIS };
      const client = new ControlClient(options, processIoFor(TIMEOUT_MILLIS));
      const thrown = await client.readFrom(address, '/v1/status').then(
        () => null,
        (error: Error) => error,
      );
      expect(thrown?.message).to.include('a response of more than');
      expect(writer.writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
    });
  }
});
