import { expect } from 'chai';
import { RouterNews } from '../../src/control/router-news.js';
import type { Registry, RegistryChange } from '../../src/registry/types.js';

/** A registry of which only the changes after a revision are asked: as many as revisions lie between. */
function registryAt(revision: number, changesEach = 1): Registry {
  const change: RegistryChange = { type: 'shard', shard: 's/all@1/0', record: null };
  const routingDelta = (from: number) =>
    from > revision
      ? undefined
      : {
          from,
          to: revision,
          changes: Array.from({ length: (revision - from) * changesEach }, () => change),
        };
  return { revision, routingDelta } as unknown as Registry;
}

function told(news: RouterNews, registry: Registry): string[] {
  return news.take(registry, null).map(({ connection, message }) => {
    const delta = message.type === 'sync-response' ? message.delta : null;
    return delta === null ? `${connection} fetch` : `${connection} ${delta.from}-${delta.to}`;
  });
}

describe('news for routers', () => {
  it('brings each router what it has not been sent', () => {
    const news = new RouterNews();
    news.holds('a', 5);
    news.holds('b', 7);
    expect(told(news, registryAt(8))).to.deep.equal(['a 5-8', 'b 7-8']);
    expect(told(news, registryAt(9))).to.deep.equal(['a 8-9', 'b 8-9']);
    news.sent('a', 12);
    news.gone('b');
    expect(told(news, registryAt(13))).to.deep.equal(['a 12-13']);
  });

  it('starts again from what a router says it holds', () => {
    const news = new RouterNews();
    news.holds('a', 5);
    told(news, registryAt(8));
    news.holds('a', 6);
    expect(told(news, registryAt(9))).to.deep.equal(['a 6-9']);
  });

  it('only announces large changes, and any to a router that holds nothing or is ahead', () => {
    const news = new RouterNews();
    news.holds('a', 5);
    news.holds('b', 0);
    news.holds('c', 20);
    expect(told(news, registryAt(8, 100))).to.deep.equal(['a fetch', 'b fetch', 'c fetch']);
  });

  it('confirms nothing', () => {
    const news = new RouterNews();
    news.holds('a', 5);
    const [item] = news.take(registryAt(6), null);
    expect(item?.message).to.include({ type: 'sync-response', confirmed: false, stamp: -1 });
  });
});
