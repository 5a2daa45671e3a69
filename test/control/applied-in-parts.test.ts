import { expect } from 'chai';
import type { RaftCore, RaftDetails, RaftEffect, RaftInput, RaftStatus } from '../../src/consensus/types.js';
import { RaftAdapter } from '../../src/control/raft-adapter.js';
import { createRegistry, decodeRegistry } from '../../src/registry/index.js';

const ENTRIES = 10;
const ENTRY_BYTES = 30_000;

/** A Raft core that commits all entries at once and confirms each read at the last of them. */
class BurstRaft implements RaftCore {
  step(input: RaftInput): RaftEffect[] {
    if (input.type === 'read') {
      return [{ type: 'read-ready', readId: input.readId, index: ENTRIES }];
    }
    return input.type === 'tick' ? [{ type: 'apply', entries: this.#entries() }] : [];
  }

  nextDeadline(): number {
    return Number.POSITIVE_INFINITY;
  }

  status(): RaftStatus {
    return { role: 'leader', term: 1 } as RaftStatus;
  }

  details(): RaftDetails {
    return { votes: null, writeSince: null, members: [], caughtUp: [] };
  }

  #entries() {
    const command = { type: 'service-delete', service: 's'.repeat(ENTRY_BYTES), expected: null };
    const data = new TextEncoder().encode(JSON.stringify({ requestId: null, actor: 'a', at: 0, command }));
    return Array.from({ length: ENTRIES }, (_, number) => ({
      index: number + 1,
      term: 1,
      kind: 'command' as const,
      data,
    }));
  }
}

describe('a burst of committed entries', () => {
  it('is applied in order over several steps, and reads wait for all entries', () => {
    const adapter = new RaftAdapter({
      raft: new BurstRaft(),
      registry: createRegistry(),
      decodeRegistry,
      listener: {
        sendPeer: () => {},
        persist: () => {},
        applied: () => {},
        entryFailed: () => {},
        restored: () => {},
        roleChanged: () => {},
        handedOver: () => {},
      },
      readTimeoutMillis: 1000,
    });
    const reads: boolean[] = [];
    adapter.feed({ type: 'tick' });
    adapter.read(0, (confirmed) => reads.push(confirmed));
    const revisions: number[] = [];
    for (let now = 0; adapter.registry.revision < ENTRIES; now += 1) {
      expect(reads).to.deep.equal([]);
      adapter.beginStep();
      while (adapter.run(now)) {
        // Runs until this step has nothing left to do.
      }
      revisions.push(adapter.registry.revision);
      const isDone = adapter.registry.revision === ENTRIES;
      expect(adapter.nextDeadline()).to.equal(isDone ? Number.POSITIVE_INFINITY : now);
    }
    expect(revisions).to.deep.equal([3, 6, 9, 10]);
    expect(reads).to.deep.equal([true]);
  });
});
