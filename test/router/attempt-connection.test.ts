/** The log line of a request tells an attempt that had a connection from one that had none. */
import { expect } from 'chai';
import type { LogFields } from '../../src/logging/logger.js';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture } from './router-fixture.js';
import { ScriptedUpstream } from './scripted-upstream.js';

class RefusedRequestRecorder extends LogRecorder {
  readonly refusals: LogFields[] = [];

  override info(event: string, fields: LogFields = {}): void {
    if (event === 'request-refused') {
      this.refusals.push(structuredClone(fields));
    }
  }
}

describe('the connection of an attempt', () => {
  let log: RefusedRequestRecorder;
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    log = new RefusedRequestRecorder();
    upstream = await new ScriptedUpstream(({ socket }) => socket.end()).start();
    router = await RouterFixture.start([upstream], { log });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  it('is in the log where the request was written', async () => {
    await router.order('/orders/1');
    expect(log.refusals[0]).to.have.nested.property('attempts[0].connectedAt').that.is.a('number');
    expect(log.refusals[0]).to.have.nested.property('attempts[0].heardAgoMillis', null);
  });

  it('is missing in the log where nothing accepted one', async () => {
    await upstream.stop();
    await router.order('/orders/1');
    expect(log.refusals[0]).to.have.nested.property('attempts[0].result', 'connect-failed');
    expect(log.refusals[0]).to.have.nested.property('attempts[0].connectedAt', null);
    await upstream.start();
  });
});
