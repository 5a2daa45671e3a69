/** The limit on stored answer bodies: the oldest are evicted, the records that requests ran stay, and replicas agree. */
import { expect } from 'chai';
import fc from 'fast-check';
import { Ledger } from '../../src/ledger/index.js';

const SERVICE = 'order';
const CLOCK = 1_700_000_000_000;
const RETENTION_MILLIS = 3_600_000;
const LIMITS = { storedBodiesPerService: 1000 };

/** A ledger whose revision increases with each command. */
class Writer {
  ledger = new Ledger(LIMITS);
  revision = 0;

  constructor() {
    this.ledger.setService(SERVICE, RETENTION_MILLIS, CLOCK);
  }

  claim(key: string, issuedAt = CLOCK): string {
    this.revision += 1;
    const claim = {
      type: 'ledger-claim',
      service: SERVICE,
      key,
      claimant: `router/${key}`,
      fingerprint: 'f',
    } as const;
    return this.ledger.claim({ ...claim, issuedAt }, this.revision, CLOCK).type;
  }

  settle(key: string, length: number, outcome: 'ran' | 'not-run' = 'ran'): void {
    this.revision += 1;
    const answer = { status: 200, contentType: 'text/plain', body: 'x'.repeat(length), truncated: false };
    const settlement = {
      type: 'ledger-settle',
      service: SERVICE,
      key,
      claimant: `router/${key}`,
      outcome,
    } as const;
    this.ledger.settle({ ...settlement, answer: outcome === 'ran' ? answer : null }, this.revision, CLOCK);
  }

  body(key: string): string | undefined {
    return this.ledger.find(SERVICE, key)?.answer?.body;
  }

  restart(): void {
    this.ledger = Ledger.fromState(structuredClone(this.ledger.toState()), LIMITS);
  }

  totalBodyLength(): number {
    const records = this.ledger.toState().services.flatMap(({ ledger }) => ledger.records);
    return records.reduce((sum, { record }) => sum + (record.answer?.body.length ?? 0), 0);
  }
}

describe('bodies of stored answers', () => {
  it('are evicted in the order of settlement, and the records stay', () => {
    const writer = new Writer();
    for (const key of ['a', 'b', 'c']) {
      writer.claim(key);
    }
    writer.settle('b', 400);
    writer.settle('a', 400);
    writer.settle('c', 400);
    expect([writer.body('a')?.length, writer.body('b')?.length, writer.body('c')?.length]).to.deep.equal([
      400, 0, 400,
    ]);
    const record = writer.ledger.find(SERVICE, 'b');
    expect(record).to.deep.include({ state: 'ran' });
    expect(record?.answer).to.deep.include({ status: 200, truncated: true });
    expect(writer.claim('b')).to.equal('closed');
    const other = {
      type: 'ledger-claim',
      service: SERVICE,
      key: 'b',
      fingerprint: 'f',
      issuedAt: CLOCK,
    } as const;
    expect(writer.ledger.claim({ ...other, claimant: 'router-2/1' }, 99, CLOCK).type).to.equal('duplicate');
  });

  it('keep their position when the key is claimed again, and are removed with their record', () => {
    const writer = new Writer();
    writer.claim('a');
    writer.settle('a', 400);
    writer.claim('b');
    writer.settle('b', 400);
    writer.claim('a', CLOCK + 10_000);
    writer.claim('c');
    writer.settle('c', 400);
    expect(writer.body('a')).to.equal('');
    expect(writer.body('b')).to.have.length(400);
    writer.ledger.expire(CLOCK + RETENTION_MILLIS + 60_000);
    expect(writer.totalBodyLength()).to.equal(0);
  });

  it('are equal on a replica that was restored at any time', () => {
    const step = fc.tuple(fc.constantFrom('claim', 'ran', 'not-run', 'restart'), fc.nat(9), fc.nat(500));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const continuous = new Writer();
        const restarted = new Writer();
        for (const [action, number, length] of steps) {
          const key = `key-${number}`;
          if (action === 'restart') {
            restarted.restart();
            continue;
          }
          for (const writer of [continuous, restarted]) {
            if (action === 'claim') {
              writer.claim(key);
            } else {
              writer.settle(key, length, action as 'ran');
            }
          }
          expect(continuous.totalBodyLength()).to.be.at.most(LIMITS.storedBodiesPerService);
        }
        expect(restarted.ledger.toState()).to.deep.equal(continuous.ledger.toState());
      }),
      { seed: 73, numRuns: 300 },
    );
  });
});
