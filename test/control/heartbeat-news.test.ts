/** Which heartbeats cost an entry of the log, and which say nothing of now. */
import { expect } from 'chai';
import { HeartbeatNews } from '../../src/control/heartbeat-news.js';
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

/** What a member knows of one upstream whose heartbeats it hears. */
class Listener {
  readonly registry = createRegistry();
  readonly news = new HeartbeatNews(() => this.registry);

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

  /** `late`, `news` or `known`. */
  hear(definition: UpstreamDefinition, sequence: number, now: number): string {
    if (this.news.isLate(definition, sequence)) {
      return 'late';
    }
    const isNews = this.news.isNews(definition, now);
    this.news.heard(definition, sequence, now);
    if (isNews) {
      this.#apply({ type: 'upstream-announce', definition });
    }
    return isNews ? 'news' : 'known';
  }

  #apply(command: Parameters<typeof this.registry.apply>[1]['command']): void {
    this.registry.apply(this.registry.revision + 1, { requestId: null, actor: 'test', at: 0, command });
  }
}

describe('heartbeats of an upstream', () => {
  it('cost an entry when it turns cold and when it is warm, not while its time runs out', () => {
    const listener = new Listener(true);
    expect(listener.hear(definitionOf({ warmupMillis: 3000 }), 1, 0)).to.equal('news');
    expect(listener.hear(definitionOf({ warmupMillis: 2130 }), 2, 870)).to.equal('known');
    expect(listener.hear(definitionOf({ warmupMillis: 1260 }), 3, 1740)).to.equal('known');
    expect(listener.hear(definitionOf({ warmupMillis: 3000 }), 4, 2610)).to.equal('news');
    expect(listener.hear(definitionOf(), 5, 5800)).to.equal('news');
    expect(listener.hear(definitionOf(), 6, 6700)).to.equal('known');
    expect(listener.hear(definitionOf({ warmupMillis: 900 }), 7, 7600)).to.equal('news');
  });

  it('cost no entry for warmth where nobody goes by it', () => {
    const listener = new Listener(false);
    expect(listener.hear(definitionOf({ warmupMillis: 3000 }), 1, 0)).to.equal('news');
    expect(listener.hear(definitionOf(), 2, 4000)).to.equal('known');
  });

  it('that come late say nothing: of an earlier time, or of a run before', () => {
    const listener = new Listener(true);
    expect(listener.hear(definitionOf({ born: 100 }), 7, 0)).to.equal('news');
    expect(listener.hear(definitionOf({ born: 100, warmupMillis: 3000 }), 6, 10)).to.equal('late');
    expect(listener.hear(definitionOf({ born: 200 }), 1, 20)).to.equal('news');
    expect(listener.hear(definitionOf({ born: 100 }), 8, 30)).to.equal('late');
    expect(listener.hear(definitionOf({ born: 200 }), 2, 40)).to.equal('known');
  });

  it('of a run before are late also at a member that heard of the next one by the log alone', () => {
    const listener = new Listener(true);
    listener.hear(definitionOf({ born: 200 }), 1, 0);
    const other = new HeartbeatNews(() => listener.registry);
    expect(other.isLate(definitionOf({ born: 100 }), 50)).to.equal(true);
    expect(other.isLate(definitionOf({ born: 200 }), 1)).to.equal(false);
  });
});
