/** Invariants of all planners under random histories of joins, drains, losses and loads. */
import { expect } from 'chai';
import fc from 'fast-check';
import { createPlanner, type PlacementMove, type PlacementPlanner } from '../../src/placement/index.js';
import { BALANCED, PLANNERS, PlacedService, server, shard } from './placement-fixtures.js';

const RUNS = 60;
const KEYSPACES = ['all', 'rare'];
const SERVERS = 6;
const SHARDS = 24;
const MINUTE_MILLIS = 60_000;

type Step =
  | { readonly type: 'server'; readonly number: number; readonly state: 'ready' | 'cold' | 'draining' }
  | { readonly type: 'may-hold'; readonly number: number; readonly mayHold: string[] }
  | { readonly type: 'lose'; readonly number: number }
  | { readonly type: 'remove'; readonly number: number }
  | { readonly type: 'load'; readonly number: number; readonly load: number }
  | { readonly type: 'wait'; readonly millis: number };

const serverNumber = fc.nat(SERVERS - 1);
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({
      type: fc.constant('server' as const),
      number: serverNumber,
      state: fc.constantFrom('ready' as const, 'cold' as const, 'draining' as const),
    }),
    fc.record({
      type: fc.constant('may-hold' as const),
      number: serverNumber,
      mayHold: fc.subarray(KEYSPACES),
    }),
    fc.record({ type: fc.constant('lose' as const), number: serverNumber }),
    fc.record({ type: fc.constant('remove' as const), number: serverNumber }),
    fc.record({ type: fc.constant('load' as const), number: fc.nat(SHARDS - 1), load: fc.nat(1000) }),
    fc.record({ type: fc.constant('wait' as const), millis: fc.integer({ min: 1, max: 5000 }) }),
  ),
  { maxLength: 40 },
);

function apply(service: PlacedService, step: Step): void {
  const id = `s${step.type === 'wait' ? 0 : step.number}`;
  const existing = service.servers.get(id) ?? server(id, { zone: `z${id.length}` });
  switch (step.type) {
    case 'server':
      service.setServer({ ...existing, state: step.state });
      break;
    case 'may-hold':
      service.setServer({ ...existing, mayHold: step.mayHold });
      break;
    case 'lose':
      service.setServer(existing);
      service.lose(id);
      break;
    case 'remove':
      service.setServer(existing);
      service.lose(id);
      service.servers.delete(id);
      service.planner.removeServer(id);
      break;
    case 'load':
      service.setLoad(`k${step.number}`, step.load);
      break;
    case 'wait':
      break;
  }
}

interface PlannedStep {
  readonly now: number;
  readonly service: PlacedService;
  readonly moves: readonly PlacementMove[];
}

/** Runs a history; `inspect` gets the moves of each plan, and the service after them. */
function run(
  planner: PlacementPlanner,
  history: readonly Step[],
  inspect: (step: PlannedStep) => void,
): PlacementMove[] {
  const service = new PlacedService(planner);
  for (let number = 0; number < 3; number += 1) {
    service.setServer(server(`s${number}`));
  }
  for (let number = 0; number < SHARDS; number += 1) {
    service.setShard(shard(`k${number}`, { keyspace: KEYSPACES[Number(number % 5 === 0)] as string }));
  }
  let now = 0;
  for (const step of history) {
    apply(service, step);
    now += step.type === 'wait' ? step.millis : 10;
    const before = new Map(service.shards);
    const moves = service.step(now);
    for (const move of moves) {
      expect(before.get(move.shard)?.owner, 'owner that the move names').to.equal(move.from);
    }
    inspect({ now, service, moves });
  }
  return service.moves.map(({ move }) => move);
}

describe('planners', () => {
  for (const { name, create } of PLANNERS) {
    it(`${name}: never moves a shard to a server that doesn't accept it`, () => {
      fc.assert(
        fc.property(steps, (history) => {
          run(create(), history, ({ service, moves }) => {
            for (const move of moves) {
              const to = service.servers.get(move.to);
              const keyspace = service.shards.get(move.shard)?.keyspace ?? '';
              expect(to?.state).to.be.oneOf(['ready', 'cold']);
              expect(to?.mayHold.length === 0 || to?.mayHold.includes(keyspace)).to.equal(true);
              expect(move.to).not.to.equal(move.from);
            }
          });
        }),
        { numRuns: RUNS },
      );
    });

    it(`${name}: leaves no shard without an owner if a server accepts it`, () => {
      fc.assert(
        fc.property(steps, (history) => {
          run(create(), history, ({ service }) => {
            const eligible = [...service.servers.values()].filter(
              ({ state }) => state === 'ready' || state === 'cold',
            );
            for (const { owner, keyspace } of service.shards.values()) {
              const canBeHeld = eligible.some(
                ({ mayHold }) => mayHold.length === 0 || mayHold.includes(keyspace),
              );
              expect(owner !== null || !canBeHeld).to.equal(true);
            }
          });
        }),
        { numRuns: RUNS },
      );
    });

    it(`${name}: returns the same moves for the same history`, () => {
      fc.assert(
        fc.property(steps, (history) => {
          const first = run(create(), history, () => {});
          expect(run(create(), history, () => {})).to.deep.equal(first);
        }),
        { numRuns: RUNS },
      );
    });
  }

  it('weighted: stays within the budget in every minute', () => {
    fc.assert(
      fc.property(steps, fc.nat(20), (history, movesPerMinute) => {
        const times: number[] = [];
        run(createPlanner({ ...BALANCED, movesPerMinute }), history, ({ now, moves }) => {
          times.push(...moves.filter(({ reason }) => reason === 'balance').map(() => now));
          const lastMinute = times.filter((time) => time > now - MINUTE_MILLIS);
          expect(lastMinute.length).to.be.at.most(movesPerMinute);
        });
      }),
      { numRuns: RUNS },
    );
  });
});
