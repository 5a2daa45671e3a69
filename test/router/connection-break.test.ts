/** The log line of a failed request contains how the connection of each attempt ended. */
import { expect } from 'chai';
import type { LogFields } from '../../src/logging/logger.js';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture } from './router-fixture.js';
import { headFor, type Script, ScriptedUpstream } from './scripted-upstream.js';

class RefusedRequestRecorder extends LogRecorder {
  readonly refusals: LogFields[] = [];

  override info(event: string, fields: LogFields = {}): void {
    if (event === 'request-refused') {
      this.refusals.push(structuredClone(fields));
    }
  }
}

const CASES: readonly { readonly how: string; readonly script: Script }[] = [
  { how: 'closed', script: ({ socket }) => socket.end() },
  { how: 'reset', script: ({ socket }) => socket.resetAndDestroy() },
  {
    how: 'closed',
    script: (request) => request.socket.end(`${headFor(request, 'content-length: 100')}part`),
  },
  {
    how: 'wrong-answer',
    script: ({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother'),
  },
  { how: 'wrong-answer', script: ({ socket }) => socket.write('SSH-2.0-OpenSSH_9.0\r\n\r\n') },
];

describe('how a connection broke', () => {
  for (const [index, { how, script }] of CASES.entries()) {
    it(`${how} (${index + 1})`, async () => {
      const log = new RefusedRequestRecorder();
      const upstream = await new ScriptedUpstream(script).start();
      const router = await RouterFixture.start([upstream], { log });
      await router.order('/orders/1');
      expect(log.refusals).to.have.length(1);
      expect(log.refusals[0]).to.have.nested.property('attempts[0].result', 'broken');
      expect(log.refusals[0]).to.have.nested.property('attempts[0].how', how);
      await router.stop();
      await upstream.stop();
    });
  }
});
