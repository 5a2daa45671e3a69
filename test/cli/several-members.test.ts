/** With several control addresses, the command line finds the leader and resends unanswered changes with the same id. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { AdminHarness, WRITE_TOKEN } from '../contract/admin-harness.js';
import { type CliResult, runCli, ScratchFolder } from './cli-harness.js';

const CLOSED = '127.0.0.1:1';
const SERVICE = 'kind: service\nname: menu\nrepeatable: true\n';

function listen(handler: (request: IncomingMessage, response: ServerResponse) => void): Promise<Server> {
  const server = createServer(handler);
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)));
}

function addressOf(server: Server): string {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}

function answer(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

const NOT_LEADER = { error: { code: 'not-leader', message: "this member isn't the leader", leader: null } };

describe('several control members', () => {
  const folder = new ScratchFolder();
  const servers: Server[] = [];
  let harness: AdminHarness;
  beforeEach(async () => {
    harness = new AdminHarness();
    await harness.start();
  });
  afterEach(async () => {
    await harness.stop();
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });
  after(() => folder.remove());

  async function stub(handler: Parameters<typeof listen>[0]): Promise<string> {
    const server = await listen(handler);
    servers.push(server);
    return addressOf(server);
  }

  function apply(addresses: readonly string[], ...extra: string[]): Promise<CliResult> {
    const file = folder.write('menu.yaml', SERVICE);
    const environment = { TERNMOUNT_CONTROL_ADMIN: addresses.join(','), TERNMOUNT_TOKEN: WRITE_TOKEN };
    return runCli(['service', 'apply', file, ...extra], environment);
  }

  /** Forwards requests to the harness; `intercept` may replace the answers to changes. */
  function forward(intercept: (response: ServerResponse, count: number) => boolean) {
    let changes = 0;
    return (request: IncomingMessage, response: ServerResponse): void => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', async () => {
        const body = Buffer.concat(chunks).toString('utf8');
        const { method = 'GET', url = '/' } = request;
        const forwardedHeaders = ['ternmount-request-id', 'if-match', 'if-none-match'];
        const headers = Object.fromEntries(
          forwardedHeaders.flatMap((name) =>
            request.headers[name] === undefined ? [] : [[name, String(request.headers[name])]],
          ),
        );
        const result = await harness.write(method, url, body, headers);
        changes += method === 'GET' ? 0 : 1;
        if (method === 'GET' || !intercept(response, changes)) {
          answer(response, result.status, result.body);
        }
      });
    };
  }

  it('skips members that are down or do not lead', async () => {
    const follower = await stub((_request, response) => answer(response, 503, NOT_LEADER));
    const { exitCode, errors } = await apply([CLOSED, follower, harness.address]);
    expect(exitCode, errors).to.equal(0);
    expect(harness.registry.services().size).to.equal(1);
  });

  it('resends a change whose answer was lost with its id; the change is made once', async () => {
    const dropsFirstAnswer = await stub(
      forward((response, count) => {
        if (count === 1) {
          response.destroy();
        }
        return count === 1;
      }),
    );
    const { exitCode, output } = await apply([dropsFirstAnswer]);
    expect(exitCode).to.equal(0);
    expect(output).to.contain('revision 1');
    expect(harness.registry.services().get('menu')?.revision).to.equal(1);
    const ids = new Set(harness.audits.map(({ requestId }) => requestId));
    expect(harness.audits.length).to.equal(2);
    expect(ids.size).to.equal(1);
  });

  it('exits with 4 without any answer, and prints how to resend', async () => {
    const silentMember = await stub(
      forward((response) => {
        response.destroy();
        return true;
      }),
    );
    const lost = await apply([silentMember], '--timeout', '100ms');
    expect(lost.exitCode).to.equal(4);
    const id = /--request-id (\S+):/.exec(lost.errors)?.[1] ?? '';
    expect(id).not.to.equal('');
    const resent = await apply([harness.address], '--request-id', id);
    expect(resent.output).to.contain('revision 1');
    expect(harness.registry.services().get('menu')?.revision).to.equal(1);
  });

  for (const [line, expectedOutput] of [
    ['control add r-2 --address 10.0.0.2:7400', 'r-2 votes'],
    ['control replace r-1 r-2 --address 10.0.0.2:7400', 'repaired: r-2 votes in place of r-1'],
  ] as const) {
    it(`"${line}" is resent with one id until it is complete`, async () => {
      const ids: unknown[] = [];
      const slow = await stub((request, response) => {
        ids.push(request.headers['ternmount-request-id']);
        const error = { code: 'outcome-unknown', message: 'not yet' };
        const membership = { voters: ['r-2'], outgoingVoters: [], learners: [], addresses: {} };
        const isComplete = ids.length > 5;
        answer(response, isComplete ? 200 : 504, isComplete ? { membership, repaired: true } : { error });
      });
      const words = [...line.split(' '), '--control', slow, '--timeout', '1ms'];
      const { exitCode, output, errors } = await runCli(words);
      expect(exitCode, errors).to.equal(0);
      expect(output).to.contain(expectedOutput);
      expect(new Set(ids).size).to.equal(1);
    });
  }

  it('exits with 4 if no member is reachable, and reports no unknown outcome', async () => {
    const { exitCode, errors } = await apply([CLOSED], '--timeout', '50ms');
    expect(exitCode).to.equal(4);
    expect(errors).to.contain('no control member gave an answer');
  });

  it('rejects a member that answers something else', async () => {
    const other = await stub((_request, response) => response.writeHead(200).end('<html>'));
    const { exitCode } = await apply([other], '--timeout', '50ms');
    expect(exitCode).to.equal(4);
  });
});
