/** Heartbeats that need a log entry, and late ones, which are ignored. */
import { expect } from 'chai';
import { HeartbeatFilter } from '../../src/control/heartbeat-filter.js';
import type { UpstreamDefinition } from '../../src/model/service.js';
import { createRegistry } from '../../src/registry/index.js';

function definitionOf(
  changes: Partial<NonNullable<UpstreamDefinition['announced']>> = {},
): UpstreamDefinition {
  return {
    id: 'u1',
    service: 'menu',
    address: '10.0.0.1:80',
    zone: 'a',
    mayHold: [],
    leaving: false,
    announced: { slots: 2, warmupMillis: 0, ...changes },
  };
}

/** A member that receives the heartbeats of one upstream. */
class Receiver {
  readonly registry = createRegistry();
  readonly filter = new HeartbeatFilter(() => this.registry);

  constructor(declaresWarmup: boolean) {
    const warmup = declaresWarmup ? { warmupPerSecond: 4.2, warmupSeconds: 3 } : {};
    this.#apply({
      type: 'declaration-apply',
      version: 1,
      expected: 0,
      extent: 'whole',
      routes: [],
      services: [{ name: 'menu', ...warmup }],
      limits: null,
      removedRoutes: [],
      removedServices: [],
    });
  }

  /** Passes a heartbeat to the filter; returns `late`, `news` (it carries an update) or `known`. */
  receive(definition: UpstreamDefinition, sequence: number, now: number): string {
    if (this.filter.isLate(definition, sequence)) {
      return 'late';
    }
    const hasUpdate = this.filter.hasUpdate(definition, now);
    this.filter.record(definition, sequence, now);
    if (hasUpdate) {
      this.#apply({ type: 'upstream-announce', definition });
    }
    return hasUpdate ? 'news' : 'known';
  }

  #apply(command: Parameters<typeof this.registry.apply>[1]['command']): void {
    this.registry.apply(this.registry.revision + 1, { requestId: null, actor: 'test', at: 0, command });
  }
}

describe('heartbeats of an upstream', () => {
  it('need an entry when the upstream turns cold and when it is warm, not while the warm-up proceeds', () => {
    const receiver = new Receiver(true);
    expect(receiver.receive(definitionOf({ warmupMillis: 3000 }), 1, 0)).to.equal('news');
    expect(receiver.receive(definitionOf({ warmupMillis: 2130 }), 2, 870)).to.equal('known');
    expect(receiver.receive(definitionOf({ warmupMillis: 1260 }), 3, 1740)).to.equal('known');
    expect(receiver.receive(definitionOf({ warmupMillis: 3000 }), 4, 2610)).to.equal('news');
    expect(receiver.receive(definitionOf(), 5, 5800)).to.equal('news');
    expect(receiver.receive(definitionOf(), 6, 6700)).to.equal('known');
    expect(receiver.receive(definitionOf({ warmupMillis: 900 }), 7, 7600)).to.equal('news');
  });

  it('need no entry for warm-up if the service declares none', () => {
    const receiver = new Receiver(false);
    expect(receiver.receive(definitionOf({ warmupMillis: 3000 }), 1, 0)).to.equal('news');
    expect(receiver.receive(definitionOf(), 2, 4000)).to.equal('known');
  });

  it('are late after a later heartbeat of their run or of a later run', () => {
    const receiver = new Receiver(true);
    expect(receiver.receive(definitionOf({ born: 100 }), 7, 0)).to.equal('news');
    expect(receiver.receive(definitionOf({ born: 100, warmupMillis: 3000 }), 6, 10)).to.equal('late');
    expect(receiver.receive(definitionOf({ born: 200 }), 1, 20)).to.equal('news');
    expect(receiver.receive(definitionOf({ born: 100 }), 8, 30)).to.equal('late');
    expect(receiver.receive(definitionOf({ born: 200 }), 2, 40)).to.equal('known');
  });

  it('of an earlier run are late also at a member that has the next run only from the log', () => {
    const receiver = new Receiver(true);
    receiver.receive(definitionOf({ born: 200 }), 1, 0);
    const other = new HeartbeatFilter(() => receiver.registry);
    expect(other.isLate(definitionOf({ born: 100 }), 50)).to.equal(true);
    expect(other.isLate(definitionOf({ born: 200 }), 1)).to.equal(false);
  });
});
