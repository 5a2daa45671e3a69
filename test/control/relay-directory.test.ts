/** The leader names to each router a few others that can carry its connections. */
import { expect } from 'chai';
import type { RelayPeers } from '../../src/control/messages.js';
import { RelayDirectory } from '../../src/control/relay-directory.js';
import type { RelayReport } from '../../src/model/relay.js';

const ZONES = ['a', 'b', 'c'] as const;
const MAX_PEERS = 12;
const MAX_OWN_ZONE_PEERS = 4;
const FORGOTTEN_MILLIS = 5001;

function reportOf(number: number, lostPaths = 0): RelayReport {
  const zone = ZONES[number % ZONES.length] as string;
  return { peer: { router: `r${number}`, zone, address: `10.0.0.${number}:7` }, lostPaths };
}

function connectionOf({ peer }: RelayReport): string {
  return `connection ${peer.router}`;
}

describe('RelayDirectory', () => {
  let directory: RelayDirectory;
  let evacuated: string | null;

  beforeEach(() => {
    evacuated = null;
    directory = new RelayDirectory({ isEvacuated: (zone) => zone === evacuated });
  });

  function report(number: number, now: number, lostPaths = 0): RelayPeers | null {
    const made = reportOf(number, lostPaths);
    return directory.recordReport(made, connectionOf(made), now);
  }

  function reportAll(count: number, now: number, lostPaths: (number: number) => number = () => 0): void {
    for (let number = 0; number < count; number += 1) {
      report(number, now, lostPaths(number));
    }
  }

  function namesFor(number: number, now: number, lostPaths = 0): string[] {
    return (report(number, now, lostPaths)?.peers ?? []).map(({ router }) => router);
  }

  it('names a dozen of many, a few of them in the router’s own zone, and never the router itself', () => {
    reportAll(60, 0);
    directory.onRouterDisconnected('connection r7');
    const peers = report(7, 1)?.peers ?? [];
    const zones = ZONES.map((zone) => peers.filter((peer) => peer.zone === zone).length);
    expect(peers).to.have.length(MAX_PEERS);
    expect(peers.map(({ router }) => router)).not.to.include('r7');
    expect(zones).to.deep.equal([MAX_OWN_ZONE_PEERS, MAX_OWN_ZONE_PEERS, MAX_OWN_ZONE_PEERS]);
  });

  it('names all others where they are few', () => {
    reportAll(4, 0);
    expect(namesFor(0, 1)).to.have.members(['r1', 'r2', 'r3']);
  });

  it('sends no list twice', () => {
    reportAll(4, 0);
    expect(report(0, 1)).not.to.equal(null);
    expect(report(0, 2)).to.equal(null);
  });

  it('sends the list again on a new connection', () => {
    reportAll(4, 0);
    report(0, 1);
    directory.onRouterDisconnected('connection r0');
    expect(report(0, 2)).not.to.equal(null);
  });

  it('names sighted routers first to a router that lost paths', () => {
    const isBlind = (number: number): boolean => number % 5 !== 0;
    reportAll(60, 0, (number) => (isBlind(number) ? 3 : 0));
    const names = namesFor(1, 1, 3);
    expect(names.filter((name) => !isBlind(Number(name.slice(1))))).to.have.length(MAX_PEERS);
  });

  it('names routers of an evacuated zone only where others are too few', () => {
    evacuated = 'b';
    reportAll(60, 0);
    directory.onRouterDisconnected('connection r0');
    const peers = report(0, 1)?.peers ?? [];
    expect(peers.slice(0, MAX_OWN_ZONE_PEERS).map(({ zone }) => zone)).not.to.include('b');
  });

  it('names none of many much more often than others', () => {
    reportAll(300, 0);
    const counts = new Map<string, number>();
    for (let number = 0; number < 300; number += 1) {
      directory.onRouterDisconnected(`connection r${number}`);
      for (const name of namesFor(number, 1)) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    expect(Math.max(...counts.values())).to.be.at.most(4 * MAX_PEERS);
  });

  it('forgets a router that no longer reports', () => {
    reportAll(4, 0);
    report(0, 1);
    for (const number of [1, 2]) {
      report(number, FORGOTTEN_MILLIS);
    }
    expect(namesFor(0, FORGOTTEN_MILLIS)).to.have.members(['r1', 'r2']);
  });
});
