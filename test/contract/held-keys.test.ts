/** What heartbeats may say of the keys that their upstream holds. */
import { expect } from 'chai';
import { z } from 'zod';
import { heldKeysFields, heldKeysOf } from '../../src/control/admin/commands/held-keys-schema.js';
import { HeartbeatHolders } from '../../src/control/ranges/heartbeat-holders.js';
import { DEFAULT_RANGE_TIMINGS } from '../../src/lease/range-timings.js';

type Row = readonly [number, number, number];

const FIELDS = z.object(heldKeysFields);

function problemsOf(holds: readonly Row[]): string[] {
  const { error } = FIELDS.safeParse({ sequence: 1, holds });
  return error?.issues.map(({ path, message }) => `${path.join('.')}: ${message}`) ?? [];
}

/*
 * Heartbeats of an owner that lived and renewed were answered 400, so its keys weren't renewed and it counted as overdue. Its range
 * 64581 to 65535 under fence 249 was being cut when a heartbeat was answered, so the answer left the range out; the next one, 0.1 s
 * later, named the two parts that it kept, under the same fence. Work on the whole row still lasted, and the owner told of all three:
 * these rows, as the log of the member that refused them shows them. It came in two of 20 days with all members killed and some owners
 * cut off; in the other one to two members, three times: 32313 to 32457 and 32459 to 32634 beside 32313 to 32634, all under fence 109.
 */
const TOLD: readonly Row[] = [
  [24145, 25949, 50],
  [25951, 27231, 50],
  [27233, 27593, 50],
  [51943, 51943, 67],
  [51946, 51946, 67],
  [52086, 52090, 66],
  [52112, 52115, 66],
  [52211, 52217, 66],
  [52231, 52245, 66],
  [52254, 52258, 66],
  [52719, 52721, 172],
  [52125, 52131, 178],
  [51169, 51169, 254],
  [64581, 65087, 249],
  [65293, 65535, 249],
  [64581, 65535, 249],
];

describe('rows of held keys', () => {
  it('may name under one fence a row that is worked on and the parts of it that are kept', () => {
    expect(problemsOf(TOLD)).to.deep.equal([]);
    expect(problemsOf([...TOLD].reverse())).to.deep.equal([]);
  });

  it('may name a row twice: it is worked on, and held again', () => {
    const row: Row = [53248, 57343, 45];
    expect(problemsOf([row, row])).to.deep.equal([]);
  });

  it('hold back the keys of each of them until it is gone', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, 0);
    const taken = { from: 65088, to: 65292 };
    const hear = (sequence: number, holds: readonly Row[]): boolean => {
      const report = heldKeysOf(FIELDS.parse({ sequence, holds }));
      expect(report).not.to.equal(null);
      return report !== null && holders.onHeartbeat({ upstream: 'u1', born: null, report }, sequence * 100);
    };
    const isFree = (): boolean =>
      holders.freeProof('u1', taken, { since: 4250, afterSequence: 42 }, 4500) !== null;
    hear(43, TOLD);
    hear(44, TOLD);
    expect(isFree()).to.equal(false);
    hear(45, TOLD.slice(0, -1));
    expect(isFree()).to.equal(true);
  });

  it('of one fence that share keys otherwise are refused, with the place and both rows', () => {
    const clashing: Row[] = [
      [0, 9, 4],
      [9, 20, 4],
    ];
    expect(problemsOf(clashing)).to.deep.equal(['holds.1: [9, 20, 4] shares keys with [0, 9, 4]']);
    const hidden: Row[] = [
      [0, 100, 4],
      [10, 20, 4],
      [90, 120, 4],
    ];
    expect(problemsOf(hidden)).to.deep.equal(['holds.2: [90, 120, 4] shares keys with [0, 100, 4]']);
    const innermost: Row[] = [
      [0, 100, 4],
      [10, 20, 4],
      [15, 30, 4],
    ];
    expect(problemsOf(innermost)).to.deep.equal(['holds.2: [15, 30, 4] shares keys with [10, 20, 4]']);
  });
});
