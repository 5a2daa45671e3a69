/** What a member logs while no leader can be elected, writes don't end, or a new replica catches up. */
import { expect } from 'chai';
import type { Membership, RaftDetails, RaftStatus } from '../../src/consensus/types.js';
import { QuorumWatch } from '../../src/control/quorum-watch.js';
import type { RaftAdapter } from '../../src/control/raft-adapter.js';

const MEMBERSHIP: Membership = {
  voters: ['a', 'b', 'c'],
  outgoingVoters: [],
  learners: [],
  addresses: { a: '127.0.0.1:1', b: '127.0.0.1:2', c: '127.0.0.1:3' },
};

interface LoggedEvent {
  readonly at: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

class WatchHarness {
  status: Partial<RaftStatus> = {
    self: 'a',
    role: 'follower',
    leader: 'b',
    term: 3,
    lastIndex: 9,
    commitIndex: 8,
    membership: MEMBERSHIP,
  };
  details: RaftDetails = { votes: null, writeSince: null, members: [], caughtUp: [] };
  readonly logged: LoggedEvent[] = [];
  #now = 0;
  readonly #watch: QuorumWatch;

  constructor() {
    this.#watch = new QuorumWatch({
      raft: { status: () => this.status, details: () => this.details } as unknown as RaftAdapter,
      heardAt: (replica) => (replica === 'b' ? 500 : null),
      joining: () => [{ replica: 'd', address: '127.0.0.1:3' }],
      log: (_level, event, fields) => this.logged.push({ at: this.#now, event, fields }),
    });
  }

  lookUntil(end: number): void {
    for (; this.#now <= end; this.#now += 100) {
      this.#watch.look(this.#now);
    }
  }

  events(event: string): LoggedEvent[] {
    return this.logged.filter((logged) => logged.event === event);
  }
}

describe('quorum watch', () => {
  it('says once a second why there is no leader: who is silent, who granted a vote, who runs in their place', () => {
    const harness = new WatchHarness();
    harness.lookUntil(900);
    harness.status = { ...harness.status, role: 'pre-candidate', leader: null };
    harness.details = { votes: ['a'], writeSince: null, members: [], caughtUp: [] };
    harness.lookUntil(4000);
    const events = harness.events('no-leader');
    expect(events.map(({ at }) => at)).to.deep.equal([2000, 3000, 4000]);
    expect(events[0]?.fields).to.deep.include({ role: 'pre-candidate', forMillis: 1000, isVoter: true });
    expect(harness.events('majority-lost')).to.deep.equal([]);
    expect(events[0]?.fields.voters).to.deep.equal([
      { replica: 'a', address: '127.0.0.1:1', heardAgoMillis: 0, granted: true, successor: null },
      { replica: 'b', address: '127.0.0.1:2', heardAgoMillis: 1500, granted: false, successor: null },
      { replica: 'c', address: '127.0.0.1:3', heardAgoMillis: null, granted: false, successor: 'd' },
    ]);
  });

  it('says that the majority is lost for good if new replicas run at the addresses of most voters', () => {
    const harness = new WatchHarness();
    const addresses = { ...MEMBERSHIP.addresses, e: '127.0.0.1:2' };
    const membership = { ...MEMBERSHIP, learners: ['e'], addresses };
    harness.status = { ...harness.status, role: 'pre-candidate', leader: null, membership };
    harness.lookUntil(1000);
    const fields = harness.events('majority-lost').map((logged) => logged.fields);
    expect(fields).to.deep.equal([{ voters: ['a', 'b', 'c'], lost: ['b', 'c'] }]);
  });

  it('is silent while there is a leader and writes end', () => {
    const harness = new WatchHarness();
    harness.lookUntil(5000);
    expect(harness.logged.map(({ event }) => event)).to.deep.equal(['membership-changed']);
  });

  it('says how long a write has been outstanding', () => {
    const harness = new WatchHarness();
    harness.details = { votes: null, writeSince: 900, members: [], caughtUp: [] };
    harness.lookUntil(2000);
    const events = harness.events('write-outstanding');
    expect(events.map(({ fields }) => fields.writeMillis)).to.deep.equal([1100]);
  });

  it('says on the leader how far a new replica is', () => {
    const harness = new WatchHarness();
    const membership = { ...MEMBERSHIP, learners: ['d'] };
    harness.status = { ...harness.status, role: 'leader', leader: 'a', membership };
    const progress = { replica: 'd', state: 'snapshot', matchIndex: 0, snapshotBytes: 7 } as const;
    harness.details = { votes: null, writeSince: null, members: [progress], caughtUp: [] };
    harness.lookUntil(1000);
    const fields = harness.events('replica-progress').map((logged) => logged.fields);
    expect(fields.map(({ forMillis }) => forMillis)).to.deep.equal([0, 1000]);
    expect(fields[0]).to.deep.include({ ...progress, commitIndex: 8 });
  });
});
