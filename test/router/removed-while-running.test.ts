/** Requests that a sound upstream works on are answered, whatever the configuration takes away meanwhile. */
import { expect } from 'chai';
import type { RoutingSnapshot } from '../../src/registry/types.js';
import { RouterFixture, snapshotOf, until } from './router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

const LONG = 'x'.repeat(4096);
const HALF = LONG.length / 2;
const READS = { slotsPerUpstream: 8, wholeAnswerBytes: 1024 };

const REMOVALS: Readonly<Record<string, (address: string) => RoutingSnapshot>> = {
  'their upstream': () => snapshotOf([], { reads: READS }),
  'their upstream and its service': () => ({ ...snapshotOf([], {}), services: [] }),
  'their service': (address) => {
    const snapshot = snapshotOf([address], {});
    const upstreams = snapshot.upstreams.filter(({ definition }) => !definition.id.startsWith('reads'));
    const services = snapshot.services.filter(({ definition }) => definition.name !== 'reads');
    return { ...snapshot, services, upstreams };
  },
};

describe('requests that run while the configuration removes', () => {
  for (const [removed, change] of Object.entries(REMOVALS)) {
    it(`${removed}, are answered`, async () => {
      const upstream = await new ScriptedUpstream(() => {}).start();
      const router = await RouterFixture.start([upstream], { reads: READS });
      const answers = ['/reads/long', '/reads/1', '/reads/2'].map((path) => router.get(path));
      await until(() => upstream.requests.length === answers.length);
      const long = upstream.requests.find(({ target }) => target === '/reads/long') as ScriptedRequest;
      long.socket.write(`${headFor(long, `content-length: ${LONG.length}`)}${LONG.slice(0, HALF)}`);
      router.control.publish({ ...change(upstream.address), revision: 11 });
      await until(() => router.daemon.status().revision === 11);
      upstream.requests.filter((request) => request !== long).forEach(answerWhole);
      long.socket.write(LONG.slice(HALF));
      const results = await Promise.all(answers);
      expect(results.map(({ status, body, whole }) => [status, body, whole])).to.deep.equal([
        [200, LONG, true],
        [200, '/reads/1', true],
        [200, '/reads/2', true],
      ]);
      await router.stop();
      await upstream.stop();
    });
  }
});
