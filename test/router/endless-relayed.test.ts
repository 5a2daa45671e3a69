/** Bytes without end from an upstream that a router reaches over another one: both routers stop reading, and serve others. */
import { expect } from 'chai';
import { ENDLESS_SHAPES, EndlessWriter } from '../platform/endless-writer.js';
import { CuttableProxy } from './cuttable-proxy.js';
import { freeAddress } from './free-address.js';
import { LogRecorder } from './log-recorder.js';
import { call, RouterFixture, until } from './router-fixture.js';
import { answerWhole, ScriptedUpstream } from './scripted-upstream.js';

const DEADLINE_MILLIS = 1000;
const MAX_WRITTEN_BYTES = 64 * 1024 * 1024;
/** Shapes that pass over a relay in different ways: refused at once, counted, and streamed until their time is over. */
const SHAPES = ENDLESS_SHAPES.filter(({ name }) =>
  [
    'bytes in place of a head',
    'the text of a status line',
    'interim answers',
    'the size of a chunk',
    'a body in chunks',
    'chunks of one byte',
    'chunks of one byte with long extensions',
    'a body that ends with its connection',
  ].includes(name),
);

describe('bytes without end over another router', function suite() {
  this.timeout(60_000);
  const writer = new EndlessWriter();
  let upstream: ScriptedUpstream;
  let proxy: CuttableProxy;
  let blind: RouterFixture;
  let sighted: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    proxy = await CuttableProxy.start(upstream.address);
    const relay = await freeAddress();
    const reads = { deadlineMillis: DEADLINE_MILLIS };
    const options = { announced: true, log: new LogRecorder(), reads };
    sighted = await RouterFixture.start([upstream], { ...options, settings: { router: 'r2', relay } });
    blind = await RouterFixture.start([proxy], {
      ...options,
      settings: { router: 'r1', relay: await freeAddress() },
    });
    blind.control.send({ type: 'relay-peers', peers: [{ router: 'r2', zone: 'a', address: relay }] });
    expect((await blind.get('/reads/warm')).status).to.equal(200);
    await proxy.cut('refused');
    await until(() => blind.daemon.status().relayed.upstreams > 0 || void blind.get('/reads/relay') === null);
    expect((await blind.get('/reads/relayed')).status).to.equal(200);
  });

  afterEach(async () => {
    writer.stop();
    await blind.stop();
    await sighted.stop();
    await proxy.stop();
    await upstream.stop();
  });

  for (const shape of SHAPES) {
    it(`are not read on: ${shape.name}`, async () => {
      writer.reset(shape);
      upstream.script = (request) => {
        if (request.target.startsWith('/reads/endless')) {
          writer.answer({ socket: request.socket, headers: Object.fromEntries(request.headers) });
        } else {
          answerWhole(request);
        }
      };
      const headers = { 'ternmount-deadline-ms': String(DEADLINE_MILLIS) };
      const answer = call(blind.address, { method: 'GET', path: '/reads/endless', headers });
      expect((await blind.get('/reads/other')).status).to.equal(200);
      const { status, whole } = await answer;
      expect(whole && status === 200).to.equal(false);
      await until(() => writer.openConnections === 0);
      if (shape.isStream !== true) {
        expect(writer.writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
      }
      expect((await sighted.get('/reads/after')).status).to.equal(200);
    });
  }
});
