/** Requests during which upstreams crashed, as kept in the replicated state. */
import { expect } from 'chai';
import type { QuarantineSettings } from '../../src/model/crash-suspect.js';
import { type Command, createRegistry, decodeRegistry, type Registry } from '../../src/registry/index.js';

const TERMS: QuarantineSettings = { crashes: 3, keepMillis: 1000, trialMillis: 100, mostRequests: 4 };

function send(registry: Registry, command: Command, at = 0): string {
  const envelope = { requestId: null, actor: 'test', at, command };
  return registry.apply(registry.revision + 1, envelope).result.type;
}

function crash(registry: Registry, fingerprint: string, run: string, at = 0, reporter = 'r1/1'): void {
  const crashes = [{ fingerprint, service: 'web', run, reporter }];
  send(registry, { type: 'crashes-note', crashes, terms: TERMS }, at);
}

/** Creates a registry with a request that has been quarantined since time 0. */
function withQuarantine(): Registry {
  const registry = createRegistry();
  for (const run of ['a', 'b', 'c']) {
    crash(registry, 'guilty', run);
  }
  return registry;
}

describe('suspects of the registry', () => {
  it('are quarantined after the number of crashed runs set by the terms, each run counted once', () => {
    const registry = createRegistry();
    for (const run of ['a', 'a', 'b', 'b', 'a']) {
      crash(registry, 'guilty', run);
    }
    expect(registry.suspect('guilty')).to.include({ crashes: 2, quarantinedAt: null, trialBy: null });
    crash(registry, 'guilty', 'c', 7, 'r2/1');
    expect(registry.suspect('guilty')).to.include({
      crashes: 3,
      quarantinedAt: 7,
      trialBy: 'r2/1',
      until: 1007,
    });
  });

  it('have one trial, which ends with a crash after the trial period', () => {
    const registry = withQuarantine();
    crash(registry, 'guilty', 'd', 50);
    expect(registry.suspect('guilty')).to.include({ trialBy: 'r1/1', quarantinedAt: 0 });
    crash(registry, 'guilty', 'e', 150);
    expect(registry.suspect('guilty')).to.include({ trialBy: null, quarantinedAt: 0, until: 1150 });
  });

  it('are removed when they succeed, unless a newer crash was recorded', () => {
    const registry = createRegistry();
    crash(registry, 'one', 'a');
    const { revision } = registry;
    crash(registry, 'one', 'b');
    send(registry, { type: 'suspects-clear', cleared: [{ fingerprint: 'one', revision }] });
    expect(registry.suspect('one')?.crashes).to.equal(2);
    send(registry, {
      type: 'suspects-clear',
      cleared: [{ fingerprint: 'one', revision: registry.revision }],
    });
    expect(registry.suspect('one')).to.equal(undefined);
  });

  it('are one crash short of the next quarantine when the first expires, and are then removed', () => {
    const registry = withQuarantine();
    send(registry, { type: 'suspects-expire', terms: TERMS }, 999);
    expect(registry.suspect('guilty')?.quarantinedAt).to.equal(0);
    send(registry, { type: 'suspects-expire', terms: TERMS }, 1000);
    expect(registry.suspect('guilty')).to.include({ crashes: 2, quarantinedAt: null });
    send(registry, { type: 'suspects-expire', terms: TERMS }, 2000);
    expect(registry.suspect('guilty')).to.equal(undefined);
  });

  it('are quarantined again by one crash after a quarantine', () => {
    const registry = withQuarantine();
    send(registry, { type: 'suspects-expire', terms: TERMS }, 1000);
    crash(registry, 'guilty', 'd', 1500);
    expect(registry.suspect('guilty')).to.include({ crashes: 3, quarantinedAt: 1500 });
  });

  it('are bounded: a flood evicts neither quarantined nor the most suspected requests', () => {
    const registry = withQuarantine();
    crash(registry, 'twice', 'a');
    crash(registry, 'twice', 'b');
    for (let number = 0; number < 100; number += 1) {
      crash(registry, `once-${number}`, 'a', number);
    }
    const names = registry.suspects().map(({ fingerprint }) => fingerprint);
    expect(names).to.have.members(['guilty', 'twice', 'once-98', 'once-99']);
  });

  it('list only the last runs', () => {
    const registry = createRegistry();
    for (let number = 1; number <= 20; number += 1) {
      crash(registry, 'guilty', `run-${number}`);
    }
    expect(registry.suspect('guilty')?.crashes).to.equal(20);
    expect(registry.suspect('guilty')?.runs).to.have.length(8);
  });

  it('are released by operators at the revision they read', () => {
    const registry = withQuarantine();
    const release = { type: 'quarantine-release', fingerprint: 'guilty' } as const;
    expect(send(registry, { ...release, expected: 1 })).to.equal('conflict');
    expect(send(registry, { ...release, expected: registry.suspect('guilty')?.revision ?? 0 })).to.equal(
      'accepted',
    );
    expect(registry.suspect('guilty')).to.equal(undefined);
    expect(send(registry, { ...release, expected: null })).to.equal('not-found');
  });

  it('are kept in a snapshot, and are sent to routers in full and as changes', () => {
    const registry = withQuarantine();
    const { revision } = registry;
    crash(registry, 'other', 'a');
    const copy = decodeRegistry(registry.encode());
    expect(copy.suspects()).to.deep.equal(registry.suspects());
    expect(copy.routingSnapshot().suspects).to.deep.equal(registry.suspects());
    expect(registry.routingDelta(revision)?.changes).to.deep.equal([
      { type: 'suspect', fingerprint: 'other', record: registry.suspect('other') },
    ]);
  });
});
