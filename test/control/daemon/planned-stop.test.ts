/** A planned stop of a control member ends before it is killed, whatever its operators' connections do. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import Koa from 'koa';
import { createAdminApp } from '../../../src/control/admin/index.js';
import { ControlDaemon } from '../../../src/control/daemon/control-daemon.js';
import { Operations } from '../../../src/control/daemon/operations.js';
import type { ControlDaemonSettings } from '../../../src/control/daemon/settings.js';
import type { ControlCore, ControlRestoredState, OperatorRequest } from '../../../src/control/types.js';
import { parseAddress } from '../../../src/wire/address.js';

/** Longer than a test may last. */
const UNBOUNDED_MILLIS = 600_000;
const ADMIN_STOP_MILLIS = 300;
const SETTLE_MILLIS = 100;
/** More than the sockets of both ends take. */
const ANSWER_BYTES = 20_000_000;
const CHANGE = JSON.stringify({ version: 1, routes: [], services: [] });
const EVACUATE: OperatorRequest = { type: 'evacuate', actor: 'operator', zone: 'a', isOut: true };

/** A core that answers no request, as a leader that can't reach the others. */
const SILENT_CORE: ControlCore = {
  step: () => [],
  nextDeadline: () => performance.now() + UNBOUNDED_MILLIS,
  status: () => ({
    self: 'control-1',
    role: 'follower',
    term: 1,
    leader: null,
    commitIndex: 0,
    lastIndex: 0,
    firstIndex: 1,
    membership: { voters: ['control-1'], outgoingVoters: [], learners: [], addresses: {} },
    matchIndexes: {},
  }),
  rangeWork: () => null,
  work: () => ({ appliedEntries: 0, routerMessages: 0, routingSnapshots: 0, searchedSpans: 0 }),
};

function startMember(createAdminApp: ControlDaemonSettings['createAdminApp']): ControlDaemon {
  const settings: ControlDaemonSettings = {
    cluster: 'demo',
    zone: 'zone-1',
    dataFolder: '',
    listen: '127.0.0.1:0',
    admin: '127.0.0.1:0',
    secret: 'a secret of a test',
    timings: { operationMillis: UNBOUNDED_MILLIS, adminStopMillis: ADMIN_STOP_MILLIS },
    ...(createAdminApp && { createAdminApp }),
  };
  const files = { persist: async () => {}, close: async () => {} };
  const opened = { replica: 'control-1', restored: {} as ControlRestoredState, files };
  return new ControlDaemon(settings, opened, () => SILENT_CORE);
}

describe('a planned stop of a control member', () => {
  let member: ControlDaemon;
  let socket: Socket;
  let received: string;

  async function start(createAdminApp: ControlDaemonSettings['createAdminApp']): Promise<void> {
    member = startMember(createAdminApp);
    await member.start();
    received = '';
    socket = connect(parseAddress(member.adminAddress));
    socket.setEncoding('latin1');
    socket.on('error', () => {});
    socket.on('data', (text: string) => {
      received += text;
    });
    await once(socket, 'connect');
  }

  async function startWithOperators(): Promise<void> {
    const operationTimeoutMillis = UNBOUNDED_MILLIS;
    await start((daemon) => createAdminApp((request) => daemon.operate(request), { operationTimeoutMillis }));
  }

  function sendChange(body: string): void {
    const head = ['PUT /v1/declaration HTTP/1.1', 'Host: a', 'If-Match: 0'];
    socket.write([...head, `Content-Length: ${CHANGE.length}`, '', body].join('\r\n'));
  }

  afterEach(() => socket.destroy());

  // Guards against a change whose connection is cut by the kill, without an answer, since its outcome can't be known.
  it('answers a change whose outcome can not be known', async () => {
    await startWithOperators();
    sendChange(CHANGE);
    await sleep(SETTLE_MILLIS);
    await member.stop();
    expect(received).to.match(/^HTTP\/1.1 504 [\s\S]*"outcome-unknown"/);
  });

  // Guards against a member that waits for the whole time limit of a request, and is killed.
  it('ends although the rest of a change does not come', async () => {
    await startWithOperators();
    sendChange(CHANGE.slice(0, 1));
    await sleep(SETTLE_MILLIS);
    await member.stop();
    expect(received).to.equal('');
  });

  // Guards against a member that waits for ever for a caller that reads nothing, and is killed.
  it('ends although a caller takes nothing of its answer', async () => {
    await start(() => {
      const app = new Koa();
      app.use((context) => {
        context.body = 'x'.repeat(ANSWER_BYTES);
      });
      return app;
    });
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await sleep(SETTLE_MILLIS);
    await member.stop();
    expect(received.length).to.be.below(ANSWER_BYTES);
  });

  // Guards against work that a member begins when it has no time left to answer it.
  it('carries out no request once the others were abandoned', async () => {
    const submitted: OperatorRequest[] = [];
    const operations = new Operations(UNBOUNDED_MILLIS, (_operation, request) => submitted.push(request));
    const pending = operations.run(EVACUATE);
    operations.abandon();
    expect(await pending).to.deep.equal({ type: 'unknown' });
    expect(await operations.run(EVACUATE)).to.deep.equal({ type: 'not-leader', leader: null });
    expect(submitted).to.have.length(1);
  });
});
