/** The stand-in for servers without the project's library: what it marks, and its faults on connections. */
import { mkdtempSync, rmSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { JournalWriter } from '../../../src/dev/journal/journal-writer.js';
import { listenHttp, type RunningServer } from '../../../src/dev/standins/http-endpoint.js';
import { readJsonBody } from '../../../src/dev/standins/json-body.js';
import { StandinRandomSource } from '../../../src/dev/standins/random-source.js';
import { AnnouncedStandin } from '../../../src/dev/standins/upstream/announced-standin.js';
import { upstreamProcessSettingsSchema } from '../../../src/dev/standins/upstream/upstream-settings.js';
import { parseAddress } from '../../../src/wire/address.js';
import { until } from '../../router/router-fixture.js';

const HOST = `127.64.${Math.floor(process.pid / 250) % 250}.${(process.pid % 250) + 1}`;
const ORIGIN = `${HOST}:8000`;
const WORK_MILLIS = 40;
const upstreamSchema = upstreamProcessSettingsSchema.shape.upstreams.element;

describe('a stand-in upstream that announces itself', () => {
  let folder: string;
  let standin: AnnouncedStandin;
  let control: RunningServer;
  /** Paths and bodies of its calls to control. */
  let calls: { readonly path: string; readonly body: Record<string, unknown> }[];

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-announced-'));
    calls = [];
    control = await listenHttp((request, response) => {
      void readJsonBody(request).then((body) => {
        calls.push({ path: request.url ?? '', body: body as Record<string, unknown> });
        response.end('{}');
      });
    }, `${HOST}:0`);
    const upstream = upstreamSchema.parse({
      id: 'up-1',
      service: 'orders',
      listen: ORIGIN,
      zone: 'zone-a',
      keyed: false,
      slots: 1,
      queueLimit: 0,
      serviceTime: { kind: 'constant', meanMillis: WORK_MILLIS },
    });
    const parts = { upstream, control: [control.address], process: 'up-1', serveOnMillis: 50 };
    const journal = new JournalWriter(join(folder, 'upstream.jsonl'));
    standin = new AnnouncedStandin(parts, journal, new StandinRandomSource(1));
    await standin.start();
    await until(() => calls.length > 0);
  });

  afterEach(async () => {
    await standin.stop();
    await control.close();
    rmSync(folder, { recursive: true });
  });

  /** Id of the run, as it announced itself. */
  function runId(): string {
    return calls[0]?.path.split('/')[3] ?? '';
  }

  function send(socket: Socket, id: string, instance = runId()): void {
    const lines = [
      `POST /orders?request=${id} HTTP/1.1`,
      'host: orders.example',
      `ternmount-request-id: ${id}`,
      'ternmount-deadline-ms: 1000',
      `ternmount-instance: ${instance}`,
      'content-length: 2',
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n{}`);
  }

  /** Connects and collects what arrives. */
  function open(): { readonly socket: Socket; readonly heads: () => string[] } {
    const socket = connect(parseAddress(ORIGIN));
    let received = '';
    socket.setEncoding('latin1');
    socket.on('error', () => {});
    socket.on('data', (text: string) => {
      received += text;
    });
    const heads = (): string[] =>
      [...received.matchAll(/HTTP\/1\.1 (\d+)[\s\S]*?ternmount-request-id: (\S+)/gi)].map(
        ([, status, id]) => `${status} ${id}`,
      );
    return { socket, heads };
  }

  it('announces its run, and says that it leaves before it stops', async () => {
    expect(calls[0]?.body).to.include({ service: 'orders', address: ORIGIN, slots: 1, state: 'ready' });
    await standin.stop();
    expect(calls.map(({ body }) => body.state)).to.include('draining');
    expect(calls.at(-1)?.path).to.match(/\/withdraw$/);
  });

  it('marks what it refuses, and answers for its own run only', async () => {
    const [first, second, third] = [open(), open(), open()];
    send(first.socket, 'a');
    await sleep(WORK_MILLIS / 2);
    send(second.socket, 'b');
    send(third.socket, 'c', 'another');
    await until(
      () => first.heads().length === 1 && second.heads().length === 1 && third.heads().length === 1,
    );
    expect([...first.heads(), ...second.heads(), ...third.heads()]).to.deep.equal([
      '200 a',
      '503 b',
      '421 c',
    ]);
    for (const { socket } of [first, second, third]) {
      socket.destroy();
    }
  });

  it('sends answers again under the fault `repeat`, some of them in the place of the next one', async () => {
    standin.faults.set({ kind: 'repeat', share: 1 });
    const { socket, heads } = open();
    const sent = ['a', 'b', 'c', 'd', 'e', 'f'];
    for (const [index, id] of sent.entries()) {
      send(socket, id);
      await until(() => heads().filter((head) => head === `200 ${id}`).length > 0);
      await sleep(index === sent.length - 1 ? 250 : 0);
    }
    const copies = heads().length - sent.length;
    expect(copies).to.be.within(3, sent.length);
    const isInPlace = (id: string, next: string): boolean =>
      heads().lastIndexOf(`200 ${id}`) > heads().indexOf(`200 ${id}`) &&
      heads().lastIndexOf(`200 ${id}`) < heads().indexOf(`200 ${next}`);
    expect(sent.slice(1).some((next, index) => isInPlace(sent[index] as string, next))).to.equal(true);
    socket.destroy();
  });

  it('ends connections before an answer is whole under the fault `break-off`', async () => {
    standin.faults.set({ kind: 'break-off', share: 1 });
    for (let number = 1; number <= 12; number += 1) {
      const { socket, heads } = open();
      send(socket, `q-${number}`);
      await until(() => socket.destroyed || socket.readableEnded);
      expect(heads().length).to.be.at.most(1);
    }
  });
});
