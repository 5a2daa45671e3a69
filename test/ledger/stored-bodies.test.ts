/** The bound on answers' bodies: the oldest go, that their requests ran stays, and replicas agree. */
import { expect } from 'chai';
import fc from 'fast-check';
import { Ledger } from '../../src/ledger/index.js';

const SERVICE = 'order';
const CLOCK = 1_700_000_000_000;
const RETENTION_MILLIS = 3_600_000;
const LIMITS = { storedBodiesPerService: 1000 };

/** A ledger with a revision that counts commands. */
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

  bodies(): number {
    const records = this.ledger.toState().services.flatMap(({ ledger }) => ledger.records);
    return records.reduce((sum, { record }) => sum + (record.answer?.body.length ?? 0), 0);
  }
}

describe('bodies of stored answers', () => {
  it('go in the order in which they were settled, and what ran stays known', () => {
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

  it('keep their place when the key is shown again, and leave with their record', () => {
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
    expect(writer.bodies()).to.equal(0);
  });

  it('are the same on a replica that was restored at any time', () => {
    const step = fc.tuple(fc.constantFrom('claim', 'ran', 'not-run', 'restart'), fc.nat(9), fc.nat(500));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const steady = new Writer();
        const restarted = new Writer();
        for (const [what, number, length] of steps) {
          const key = `key-${number}`;
          if (what === 'restart') {
            restarted.restart();
            continue;
          }
          for (const writer of [steady, restarted]) {
            if (what === 'claim') {
              writer.claim(key);
            } else {
              writer.settle(key, length, what as 'ran');
            }
          }
          expect(steady.bodies()).to.be.at.most(LIMITS.storedBodiesPerService);
        }
        expect(restarted.ledger.toState()).to.deep.equal(steady.ledger.toState());
      }),
      { seed: 73, numRuns: 300 },
    );
  });
});
