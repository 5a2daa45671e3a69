/** A control member that answers a change with a status that HTTP doesn't have: whatever its body says, whether the change was made is unknown. */
import { type AddressInfo, createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { UnknownOutcomeError, UnreachableError } from '../../src/cli/cli-error.js';
import { ControlClient } from '../../src/cli/control-client.js';
import { processIoFor } from '../contract/command-line-run.js';

const COMMAND_MILLIS = 1000;
const PROCESS_MILLIS = 60_000;
const STATUSES = ['000', '001', '042', '099', '101', '600', '999', '0409', '2000'];
/** Codes by which control refuses a change for good, and those that have it sent again. */
const CODES = ['invalid', 'revision-conflict', 'not-leader', 'unavailable'];

describe('a command whose answer has a status that HTTP does not have', function suite() {
  this.timeout(PROCESS_MILLIS);
  let member: Server;
  let address = '';

  before(async () => {
    member = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', (request: Buffer) => socket.end(answerTo(request.toString('latin1'))));
    });
    await new Promise<void>((resolve) => member.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(member.address() as AddressInfo).port}`;
  });

  function createClient(): ControlClient {
    const options = { addresses: [address], token: null, timeoutMillis: COMMAND_MILLIS };
    return new ControlClient(options, processIoFor(PROCESS_MILLIS));
  }

  after(() => member.close());

  for (const code of CODES) {
    // Guards against operators who take a change that was made for one that was refused.
    it(`knows nothing by it: ${code}`, async () => {
      const failures = await Promise.all(
        STATUSES.flatMap((status) => {
          const path = `/${status}/${code}`;
          return [createClient().change({ method: 'PUT', path, body: {} }), createClient().read(path)].map(
            failureOf,
          );
        }),
      );
      for (const [index, status] of STATUSES.entries()) {
        expect(failures[2 * index], status).to.be.instanceOf(UnknownOutcomeError);
        expect(failures[2 * index + 1], status).to.be.instanceOf(UnreachableError);
      }
    });
  }
});

/** Answers a request for `/STATUS/CODE`. */
function answerTo(request: string): string {
  const [, status, code] = request.split(/[ /]+/);
  const body = JSON.stringify({ error: { code, message: 'no' } });
  return `HTTP/1.1 ${status} Odd\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function failureOf(result: Promise<unknown>): Promise<unknown> {
  return result.then(
    () => null,
    (error: unknown) => error,
  );
}
