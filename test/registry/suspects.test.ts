/** Requests under which upstreams ended, as the replicated state keeps them. */
import { expect } from 'chai';
import type { QuarantineTerms } from '../../src/model/crash-suspect.js';
import { type Command, createRegistry, decodeRegistry, type Registry } from '../../src/registry/index.js';

const TERMS: QuarantineTerms = { crashes: 3, keepMillis: 1000, trialMillis: 100, mostRequests: 4 };

function send(registry: Registry, command: Command, at = 0): string {
  const envelope = { requestId: null, actor: 'test', at, command };
  return registry.apply(registry.revision + 1, envelope).result.type;
}

function crash(registry: Registry, fingerprint: string, run: string, at = 0, reporter = 'r1/1'): void {
  const crashes = [{ fingerprint, service: 'web', run, reporter }];
  send(registry, { type: 'crashes-note', crashes, terms: TERMS }, at);
}

/** A registry with a request that is quarantined since time 0. */
function withQuarantine(): Registry {
  const registry = createRegistry();
  for (const run of ['a', 'b', 'c']) {
    crash(registry, 'guilty', run);
  }
  return registry;
}

describe('suspects of the registry', () => {
  it('are quarantined after as many ended runs as the terms say, each counted once', () => {
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

  it('have one trial, which a later crash says has failed', () => {
    const registry = withQuarantine();
    crash(registry, 'guilty', 'd', 50);
    expect(registry.suspect('guilty')).to.include({ trialBy: 'r1/1', quarantinedAt: 0 });
    crash(registry, 'guilty', 'e', 150);
    expect(registry.suspect('guilty')).to.include({ trialBy: null, quarantinedAt: 0, until: 1150 });
  });

  it('go when they succeed, unless more is known of them since', () => {
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

  it('are one crash from the next quarantine when the first is over, and then forgotten', () => {
    const registry = withQuarantine();
    send(registry, { type: 'suspects-expire', terms: TERMS }, 999);
    expect(registry.suspect('guilty')?.quarantinedAt).to.equal(0);
    send(registry, { type: 'suspects-expire', terms: TERMS }, 1000);
    expect(registry.suspect('guilty')).to.include({ crashes: 2, quarantinedAt: null });
    send(registry, { type: 'suspects-expire', terms: TERMS }, 2000);
    expect(registry.suspect('guilty')).to.equal(undefined);
  });

  it('come back with one more crash after a quarantine', () => {
    const registry = withQuarantine();
    send(registry, { type: 'suspects-expire', terms: TERMS }, 1000);
    crash(registry, 'guilty', 'd', 1500);
    expect(registry.suspect('guilty')).to.include({ crashes: 3, quarantinedAt: 1500 });
  });

  it('are bounded: a flood of them forgets neither who is quarantined nor who is suspected most', () => {
    const registry = withQuarantine();
    crash(registry, 'twice', 'a');
    crash(registry, 'twice', 'b');
    for (let number = 0; number < 100; number += 1) {
      crash(registry, `once-${number}`, 'a', number);
    }
    const names = registry.suspects().map(({ fingerprint }) => fingerprint);
    expect(names).to.have.members(['guilty', 'twice', 'once-98', 'once-99']);
  });

  it('name the last runs only', () => {
    const registry = createRegistry();
    for (let number = 1; number <= 20; number += 1) {
      crash(registry, 'guilty', `run-${number}`);
    }
    expect(registry.suspect('guilty')?.crashes).to.equal(20);
    expect(registry.suspect('guilty')?.runs).to.have.length(8);
  });

  it('are released by operators, at the revision that they saw', () => {
    const registry = withQuarantine();
    const release = { type: 'quarantine-release', fingerprint: 'guilty' } as const;
    expect(send(registry, { ...release, expected: 1 })).to.equal('conflict');
    expect(send(registry, { ...release, expected: registry.suspect('guilty')?.revision ?? 0 })).to.equal(
      'accepted',
    );
    expect(registry.suspect('guilty')).to.equal(undefined);
    expect(send(registry, { ...release, expected: null })).to.equal('not-found');
  });

  it('survive a snapshot, and routers get them whole and as changes', () => {
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
