/** What the log tells of the connection of an attempt, and of answers that aren't those of the request that waits for one. */
import { connect } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { callRouter } from '../platform/announced-upstream.js';
import { LogRecorder } from './log-recorder.js';
import { RoutedRouter, writeAnswer, writeRefusal } from './routed-router.js';
import { RouterFixture, until } from './router-fixture.js';
import { ScriptedUpstream } from './scripted-upstream.js';

describe('the connection of an attempt', () => {
  let log: LogRecorder;
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    log = new LogRecorder();
    upstream = await new ScriptedUpstream(({ socket }) => socket.end()).start();
    router = await RouterFixture.start([upstream], { log });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  it('is in the log where the request was written', async () => {
    await router.order('/orders/1');
    expect(log.fieldsOf('request-refused')[0])
      .to.have.nested.property('attempts[0].connectedAt')
      .that.is.a('number');
    expect(log.fieldsOf('request-refused')[0]).to.have.nested.property('attempts[0].heardAgoMillis', null);
  });

  it('is missing in the log where nothing accepted one', async () => {
    await upstream.stop();
    await router.order('/orders/1');
    expect(log.fieldsOf('request-refused')[0]).to.have.nested.property(
      'attempts[0].result',
      'connect-failed',
    );
    expect(log.fieldsOf('request-refused')[0]).to.have.nested.property('attempts[0].connectedAt', null);
    await upstream.start();
  });
});

describe('the log of answers', () => {
  let router: RoutedRouter;

  beforeEach(async () => {
    router = await RoutedRouter.start();
  });

  afterEach(() => router.stop());

  it('numbers the connection of each attempt and counts the requests before it', async () => {
    router.server.script = writeRefusal;
    await callRouter(router.daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
    await callRouter(router.daemon.address, '/orders/1', { id: 'q-2', deadline: 900 });
    const attempts = router.log.fieldsOf('request-refused').map(({ attempts }) => attempts);
    expect(attempts).to.have.nested.property('[0][0].earlierRequests', 0);
    expect(attempts).to.have.nested.property('[0][0].connection').that.is.a('number');
    expect(attempts).to.have.nested.property('[1][0].earlierRequests').that.is.above(0);
  });

  it('names the id of an answer that another request is due', async () => {
    router.server.script = ({ socket }) =>
      socket.write('HTTP/1.1 200 OK\r\nternmount-request-id: other\r\ncontent-length: 2\r\n\r\nno');
    await callRouter(router.daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
    const [foreign] = router.log.fieldsOf('answer-foreign');
    expect(foreign).to.include({ id: 'q-1', receivedId: 'other', status: 200, upstream: 'menu-1' });
  });

  it('keeps each answer of an upstream whose status promises that a request has not run', async () => {
    router.server.script = (request) => writeAnswer(request, '429 Too Many Requests');
    for (let number = 1; number <= 5; number += 1) {
      await callRouter(router.daemon.address, '/reads/1', { id: `q-${number}`, deadline: 900 });
    }
    expect(router.log.fieldsOf('request-answered').map(({ id }) => id)).to.deep.equal(
      Array.from({ length: 5 }, (_, index) => `q-${index + 1}`),
    );
  });

  it('tells what stood on the connection of a caller when the listener answered by itself', async () => {
    const { host, port } = parseAddress(router.daemon.address);
    const caller = connect({ host, port });
    caller.resume();
    caller.write('this is no request\r\n\r\n');
    await until(() => router.log.fieldsOf('caller-fault-answered').length > 0);
    const [answered] = router.log.fieldsOf('caller-fault-answered');
    expect(answered).to.include({ fault: 'malformed', status: 400, open: 0, unsentBytes: 0 });
    caller.destroy();
  });
});
