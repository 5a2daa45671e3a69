import { expect } from 'chai';
import { checkFleet, type PromiseName } from '../../../src/dev/fleet/checker/index.js';
import type { ConstraintReport, JournalRecord } from '../../../src/dev/journal/records.js';
import { attempt, event, run } from './journal-fixtures.js';

interface Case {
  readonly title: string;
  readonly records: readonly JournalRecord[];
  /** Promises that the records violate. */
  readonly broken: readonly PromiseName[];
}

const shard = 'menuboard/sheets@4/1';
const order = { service: 'pantryorder', idempotencyKey: 'key-1' };

const UPSTREAM = { wall: 0, upstream: 'up-1', incarnation: 'one' };
const NO_NEED = { limitPerSecond: null, restMillis: null, isLeaving: false };

/** An answer that reports `need`, and requests that reach the same upstream from the same router. */
function constrainedUpstream(need: Partial<ConstraintReport>, arrivals: readonly number[]): JournalRecord[] {
  const said = { ...NO_NEED, ...need };
  const answer: JournalRecord = { type: 'need-said', at: 0, ...UPSTREAM, routerRequest: 'r1/1.1', ...said };
  const later = arrivals.map((at, index): JournalRecord => {
    const routerRequest = `r1/1.${index + 2}`;
    return { type: 'needy-arrival', at, ...UPSTREAM, request: `request-${index}`, routerRequest, ...said };
  });
  return [answer, ...later];
}

function times(from: number, gap: number, count: number): number[] {
  return Array.from({ length: count }, (_, index) => from + index * gap);
}

const CASES: readonly Case[] = [
  {
    title: 'a limit that is kept',
    records: constrainedUpstream({ limitPerSecond: 2 }, times(3000, 250, 17)),
    broken: [],
  },
  {
    title: 'a limit that each router uses in full',
    records: constrainedUpstream({ limitPerSecond: 2 }, times(3000, 100, 40)),
    broken: ['needs-heeded'],
  },
  {
    title: 'a back-off that is shortened to a second',
    records: constrainedUpstream({ restMillis: 3000 }, [1000, 1010, 1020, 2100]),
    broken: ['needs-heeded'],
  },
  {
    title: 'a back-off that is kept',
    records: constrainedUpstream({ restMillis: 3000 }, [100, 400, 1000, 1010, 3000, 3001]),
    broken: [],
  },
  {
    title: 'requests to an upstream after an answer that reported draining',
    records: constrainedUpstream({ isLeaving: true }, [1900, 2100]),
    broken: ['needs-heeded'],
  },
  { title: 'nothing', records: [], broken: [] },
  {
    title: 'owners one after the other',
    records: [
      ...run({ shard, epoch: 5, at: 0 }),
      ...run({ shard, epoch: 9, at: 10, upstream: 'up-2', incarnation: 'two' }),
    ],
    broken: [],
  },
  {
    title: 'an old owner rejected at the point of effect',
    records: [
      ...run({ shard, epoch: 5, at: 0, effectAt: null }),
      ...run({ shard, epoch: 9, at: 10, upstream: 'up-2', incarnation: 'two' }),
    ],
    broken: [],
  },
  {
    title: 'an old owner that takes effect after a new one started',
    records: [
      ...run({ shard, epoch: 5, at: 0, effectAt: 20 }),
      ...run({ shard, epoch: 9, at: 10, upstream: 'up-2', incarnation: 'two' }),
    ],
    broken: ['single-owner'],
  },
  {
    title: 'one owner that finishes old work under a new epoch',
    records: [...run({ shard, epoch: 5, at: 0, effectAt: 20 }), ...run({ shard, epoch: 9, at: 10 })],
    broken: [],
  },
  {
    title: 'one epoch with two owners',
    records: [
      ...run({ shard, epoch: 5, at: 0 }),
      ...run({ shard, epoch: 5, at: 10, upstream: 'up-2', incarnation: 'two' }),
    ],
    broken: ['single-owner'],
  },
  {
    title: 'one epoch kept by a restarted server',
    records: [...run({ shard, epoch: 5, at: 0 }), ...run({ shard, epoch: 5, at: 10, incarnation: 'two' })],
    broken: ['single-owner'],
  },
  {
    title: 'two owners of one key through two key maps',
    records: [
      ...run({ shard: 'menuboard/sheets@4/1', key: 'sheet/7', epoch: 5, at: 0, effectAt: 20 }),
      ...run({ shard: 'menuboard/hot@8/0', key: 'sheet/7', epoch: 9, at: 10, upstream: 'up-2' }),
    ],
    broken: ['single-owner'],
  },
  {
    title: 'an order that ran once and was resent',
    records: [
      ...run({ ...order, request: 'a' }),
      attempt({ ...order, request: 'a', verdict: 'lost' }),
      attempt({ ...order, request: 'a', attempt: 2, router: 'router-2' }),
    ],
    broken: [],
  },
  {
    title: 'an order that ran twice',
    records: [...run({ ...order, request: 'a' }), ...run({ ...order, request: 'a', upstream: 'up-2' })],
    broken: ['at-most-once'],
  },
  {
    title: 'an order started twice, once without effect',
    records: [
      ...run({ ...order, request: 'a', effectAt: null }),
      ...run({ ...order, request: 'a', upstream: 'up-2' }),
    ],
    broken: [],
  },
  {
    title: 'not-run, and it did not run',
    records: [
      ...run({ request: 'a', routerRequest: 'r-1', effectAt: null }),
      attempt({ request: 'a', routerRequest: 'r-1', verdict: 'refused', outcome: 'not-run' }),
    ],
    broken: [],
  },
  {
    title: 'not-run, but that attempt ran',
    records: [
      ...run({ request: 'a', routerRequest: 'r-1' }),
      attempt({ request: 'a', routerRequest: 'r-1', verdict: 'refused', outcome: 'not-run' }),
    ],
    broken: ['not-run-is-true'],
  },
  {
    title: 'not-run, but it ran after the answer',
    records: [
      attempt({ request: 'a', at: 5, routerRequest: 'r-1', verdict: 'refused', outcome: 'not-run' }),
      ...run({ request: 'a', routerRequest: 'r-1', at: 50 }),
    ],
    broken: ['not-run-is-true'],
  },
  {
    title: 'not-run from a router that gives no request id, but it ran',
    records: [
      ...run({ request: 'a', routerRequest: null }),
      attempt({ request: 'a', verdict: 'refused', outcome: 'not-run' }),
    ],
    broken: ['not-run-is-true'],
  },
  {
    title: 'not-run for the first attempt, and the second one ran',
    records: [
      attempt({ request: 'a', routerRequest: 'r-1', verdict: 'refused', outcome: 'not-run', last: false }),
      ...run({ request: 'a', routerRequest: 'r-2' }),
      attempt({ request: 'a', attempt: 2, routerRequest: 'r-2' }),
    ],
    broken: [],
  },
  {
    title: 'a partial answer accepted as complete',
    records: [attempt({ verdict: 'damaged' })],
    broken: ['whole-answers'],
  },
  {
    title: 'the answer of another request',
    records: [attempt({ verdict: 'foreign' })],
    broken: ['whole-answers'],
  },
  { title: 'a truncated answer that was detected', records: [attempt({ verdict: 'lost' })], broken: [] },
  {
    title: 'an order answered that never ran',
    records: [attempt({ ...order, request: 'a' })],
    broken: ['ran-is-true'],
  },
  {
    title: 'a new request soon after a drain',
    records: [event(0, { event: 'drain-accepted', upstream: 'up-1' }), ...run({ at: 1000 })],
    broken: [],
  },
  {
    title: 'a new request long after a drain',
    records: [event(0, { event: 'drain-accepted', upstream: 'up-1' }), ...run({ at: 9000 })],
    broken: ['drained'],
  },
  {
    title: 'a new request after the drain was undone',
    records: [
      event(0, { event: 'drain-accepted', upstream: 'up-1' }),
      event(8000, { event: 'return-accepted', upstream: 'up-1' }),
      ...run({ at: 9000 }),
    ],
    broken: [],
  },
  {
    title: 'a planned stop that waits for requests in flight',
    records: [...run({ at: 0 }), event(1, { event: 'stopping', process: 'up-1' })],
    broken: [],
  },
  {
    title: 'a planned stop during a run',
    records: [...run({ at: 0, endAt: null }), event(1, { event: 'stopping', process: 'up-1' })],
    broken: ['planned-stop'],
  },
  {
    title: 'a kill during a run',
    records: [...run({ at: 0, endAt: null }), event(1, { event: 'killed', process: 'up-1' })],
    broken: [],
  },
  {
    title: 'a planned stop of a router with a request in flight',
    records: [
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 0, at: 600, verdict: 'lost' }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a planned stop of a router while connections to it end by a fault',
    records: [
      event(100, { event: 'connections-ending', processes: ['router-1'] }),
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 200, at: 600, verdict: 'lost' }),
    ],
    broken: [],
  },
  {
    title: 'a planned stop of a router after connections to it ended by a fault',
    records: [
      event(100, { event: 'connections-ending', processes: ['router-1'] }),
      event(200, { event: 'connections-kept', processes: ['router-1'] }),
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 300, at: 600, verdict: 'lost' }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a planned stop of a router while connections to another one end by a fault',
    records: [
      event(100, { event: 'connections-ending', processes: ['router-2'] }),
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 200, at: 600, verdict: 'lost' }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a planned stop of a router with a pipelined request at an upstream',
    records: [
      ...run({ at: 100, request: 'request' }),
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 0, at: 600, verdict: 'lost', pipelined: true }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a planned stop of a router that never forwarded a pipelined request',
    records: [
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 0, at: 600, verdict: 'lost', pipelined: true }),
    ],
    broken: [],
  },
  {
    title:
      'a planned stop of a router that never forwarded a pipelined request, which its caller then sent to another router',
    records: [
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 0, at: 600, verdict: 'lost', pipelined: true, last: false }),
      ...run({ at: 650, request: 'request' }),
      attempt({ sentAt: 640, at: 700, attempt: 2, router: 'router-2', pipelined: true }),
    ],
    broken: [],
  },
  // Guards against runs of an earlier attempt that are taken for runs of the one that was lost.
  ...(['router-1', 'router-2'] as const).map((origin) => ({
    title: `a planned stop of a router while a pipelined request that was given up at another one runs from ${origin}`,
    records: [
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 0, at: 5, request: 'known-1', router: 'router-1' }),
      ...run({ at: 1, request: 'known-1', routerRequest: 'process-of-router-1.1' }),
      attempt({ sentAt: 0, at: 5, request: 'known-2', router: 'router-2' }),
      ...run({ at: 1, request: 'known-2', routerRequest: 'process-of-router-2.1' }),
      attempt({ sentAt: 10, at: 90, verdict: 'left', router: 'router-2', pipelined: true, last: false }),
      ...run({ at: 110, request: 'request', routerRequest: `process-of-${origin}.2` }),
      attempt({ sentAt: 100, at: 600, attempt: 2, verdict: 'lost', pipelined: true }),
    ],
    broken: origin === 'router-1' ? (['planned-stop'] as const) : [],
  })),
  {
    title:
      'a planned stop of a router while a pipelined request that was given up at another one runs from an unknown one',
    records: [
      event(500, { event: 'stopping', process: 'router-1' }),
      attempt({ sentAt: 10, at: 90, verdict: 'left', router: 'router-2', pipelined: true, last: false }),
      ...run({ at: 110, request: 'request', routerRequest: 'process.1' }),
      attempt({ sentAt: 100, at: 600, attempt: 2, verdict: 'lost', pipelined: true }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a caller that disconnected',
    records: [
      attempt({ verdict: 'left' }),
      event(9, { event: 'router-left-over', router: 'a', requests: 0 }),
    ],
    broken: [],
  },
  {
    title: 'requests that are pending after the load',
    records: [event(9, { event: 'router-left-over', router: 'router-1', requests: 3 })],
    broken: ['nothing-left-over'],
  },
  {
    title: 'a planned stop that never completed',
    records: [
      event(10, { event: 'stopping', process: 'up-1' }),
      event(9000, { event: 'stopped', process: 'up-1', result: 'killed' }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a planned stop of a process that was killed and restarted before',
    records: [
      ...run({ at: 5, endAt: null }),
      event(10, { event: 'killed', process: 'up-1' }),
      ...run({ at: 20, incarnation: 'two' }),
      event(30, { event: 'stopping', process: 'up-1' }),
    ],
    broken: [],
  },
  {
    title: 'a planned stop that interrupts a request after an earlier kill',
    records: [
      ...run({ at: 5, endAt: null }),
      event(10, { event: 'killed', process: 'up-1' }),
      ...run({ at: 20, endAt: null, incarnation: 'two' }),
      event(30, { event: 'stopping', process: 'up-1' }),
    ],
    broken: ['planned-stop'],
  },
  {
    title: 'a change in force that each later read returns',
    records: [
      event(0, { event: 'change-sent', service: 'menuboard', value: 2 }),
      event(1, { event: 'change-read', service: 'menuboard', value: 1, since: 0 }),
      event(5, { event: 'change-in-force', service: 'menuboard', value: 2, revision: 40 }),
      event(7, { event: 'change-read', service: 'menuboard', value: 2, since: 6 }),
      event(8, { event: 'router-read', router: 'router-1', revision: 41, serving: true, since: 6 }),
      event(8, { event: 'router-read', router: 'router-2', revision: 39, serving: false, since: 6 }),
      event(9, { event: 'router-read', router: 'router-3', revision: 39, serving: true, since: 4 }),
    ],
    broken: [],
  },
  {
    title: 'a change in force that a later read does not return',
    records: [
      event(5, { event: 'change-in-force', service: 'menuboard', value: 2, revision: 40 }),
      event(7, { event: 'change-read', service: 'menuboard', value: 1, since: 6 }),
    ],
    broken: ['configuration-kept'],
  },
  {
    title: 'a change that was read and then reverted',
    records: [
      event(5, { event: 'change-read', service: 'menuboard', value: 3, since: 4 }),
      event(7, { event: 'change-read', service: 'menuboard', value: 2, since: 6 }),
    ],
    broken: ['configuration-kept'],
  },
  {
    title: 'a router that serves a lower revision than the one in force',
    records: [
      event(5, { event: 'change-in-force', service: 'menuboard', value: 2, revision: 40 }),
      event(8, { event: 'router-read', router: 'router-1', revision: 39, serving: true, since: 6 }),
    ],
    broken: ['configuration-kept'],
  },
];

describe('fleet checker', () => {
  for (const { title, records, broken } of CASES) {
    it(`${title}: ${broken.length === 0 ? 'holds' : broken.join(', ')}`, () => {
      const results = checkFleet(records);
      const found = results.filter((result) => result.violations.length > 0).map((result) => result.promise);
      expect(found).to.have.members([...broken]);
    });
  }

  it('has a violating journal for each promise', () => {
    const broken = new Set(CASES.flatMap((testCase) => testCase.broken));
    const promises = checkFleet([]).map((result) => result.promise);
    expect([...broken]).to.have.members(promises);
  });

  it('puts records of several journals in order of time', () => {
    const records = [
      ...run({ shard, epoch: 9, at: 10, upstream: 'up-2', incarnation: 'two' }),
      ...run({ shard, epoch: 5, at: 0, effectAt: 20 }),
    ];
    const violations = checkFleet(records).flatMap((result) => result.violations);
    expect(violations).to.have.length(1);
  });
});
