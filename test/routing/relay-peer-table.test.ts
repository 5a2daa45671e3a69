import { expect } from 'chai';
import type { RelayPeer } from '../../src/model/relay.js';
import { RelayPeerTable, spreadOverZones } from '../../src/routing/paths/relay-peer-table.js';

const SIGHT_LIFETIME_MILLIS = 5000;
const KEEP_MILLIS = 10_000;
const UPSTREAM = { id: 'u1', service: 's1', zone: 'b' };
const OF_ANOTHER_SERVICE = { id: 'u2', service: 's2', zone: 'b' };

function peer(router: string, zone: string): RelayPeer {
  return { router, zone, address: `${router}:1` };
}

describe('RelayPeerTable', () => {
  let table: RelayPeerTable;

  beforeEach(() => {
    table = new RelayPeerTable('a');
    table.set([peer('far', 'c'), peer('near', 'a'), peer('there', 'b')], 0);
  });

  function order(now = 0): string[] {
    return table.inOrderFor(UPSTREAM, now).map(({ router }) => router);
  }

  it('prefers ways that cross one zone to those that cross two', () => {
    expect(order().at(-1)).to.equal('far');
  });

  it('prefers peers that reached an upstream, and puts blind ones last, while that is news', () => {
    table.recordSight('far', UPSTREAM, true, 0);
    table.recordSight('near', UPSTREAM, false, 0);
    expect(order(SIGHT_LIFETIME_MILLIS)).to.deep.equal(['far', 'there', 'near']);
    expect(order(SIGHT_LIFETIME_MILLIS + 1).at(-1)).to.equal('far');
  });

  it('puts a peer last only for upstreams like the one that it has lost', () => {
    table.recordSight('near', OF_ANOTHER_SERVICE, true, 0);
    table.recordSight('near', UPSTREAM, false, 1);
    expect(order(1).at(-1)).to.equal('near');
    expect(table.inOrderFor(OF_ANOTHER_SERVICE, 1).map(({ router }) => router)[0]).to.equal('near');
  });

  it('takes a peer that sees other upstreams before one of which nothing is known', () => {
    table.recordSight('far', OF_ANOTHER_SERVICE, true, 0);
    expect(order()[0]).to.equal('far');
    expect(table.isSighted('far', UPSTREAM, 0)).to.equal(true);
  });

  it('leaves out a peer that failed, until the given time', () => {
    table.avoid('near', 100);
    expect(order(99)).not.to.include('near');
    expect(order(100)).to.include('near');
  });

  it('takes a peer in a third region after all others that see', () => {
    table = new RelayPeerTable('a', { a: 'north', b: 'north', c: 'south' });
    table.set([peer('far', 'c'), peer('near', 'a'), peer('there', 'b')], 0);
    table.recordSight('far', UPSTREAM, true, 0);
    expect(order().at(-1)).to.equal('far');
    table.recordSight('near', UPSTREAM, false, 0);
    expect(order()).to.deep.equal(['there', 'far', 'near']);
  });

  it('knows no third region where a zone is not listed', () => {
    table = new RelayPeerTable('a', { a: 'north', c: 'south' });
    table.set([peer('far', 'c'), peer('near', 'a')], 0);
    table.recordSight('far', UPSTREAM, true, 0);
    expect(order()).to.deep.equal(['far', 'near']);
  });

  it('forgets peers that are no longer named after a while, and what it knew of them', () => {
    table.recordSight('near', UPSTREAM, true, KEEP_MILLIS - 2);
    table.set([peer('there', 'b')], 0);
    table.set([peer('there', 'b')], KEEP_MILLIS);
    expect(order(KEEP_MILLIS)).to.deep.equal(['there']);
    table.set([peer('near', 'a'), peer('there', 'b')], KEEP_MILLIS);
    expect(table.isSighted('near', UPSTREAM, KEEP_MILLIS)).to.equal(false);
  });

  it('keeps the peers of a leader whose successor names few yet, after those that it names', () => {
    table.set([], 0);
    expect(order()).to.have.members(['near', 'there', 'far']);
    table.set([peer('far', 'c')], 1);
    expect(order(1)).to.deep.equal(['far', ...order(1).slice(1)]);
    expect(order(KEEP_MILLIS - 1)).to.have.length(3);
    expect(order(KEEP_MILLIS)).to.deep.equal(['far']);
  });
});

describe('spreadOverZones', () => {
  it('takes one peer of each zone before a second one of any', () => {
    const peers = [peer('a1', 'a'), peer('a2', 'a'), peer('b1', 'b'), peer('c1', 'c')];
    expect(spreadOverZones(peers, 3).map(({ router }) => router)).to.deep.equal(['a1', 'b1', 'c1']);
    expect(spreadOverZones(peers, 4).at(-1)?.router).to.equal('a2');
  });
});
