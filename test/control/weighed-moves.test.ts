/**
 * A leader weighs moves of keys if the service declares how long keys without handover are slow, and logs what they
 * are worth.
 */
import { expect } from 'chai';
import { EVENTS } from '../../src/logging/events.js';
import { RangeWorld, SERVICE } from './range-world.js';

const FIRST_GRANTS_MILLIS = 2500;
const REPORT_MILLIS = 250;
const WORK_MILLIS = 100;

/** Four owners; for some seconds, keys at the start of the first one's range take twice its capacity. */
function heatedWorld(declared: object): RangeWorld {
  const world = new RangeWorld(undefined, declared);
  for (const id of ['u1', 'u2', 'u3', 'u4']) {
    world.addHolder(id);
  }
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  for (let reports = 0; reports < 20; reports += 1) {
    const shards = Array.from({ length: 40 }, (_, key) => ({
      shard: `${SERVICE}/numbers@0/${key}`,
      requests: 0.25,
      workMillis: 0.25 * WORK_MILLIS,
    }));
    world.report({ shards } as never);
    world.run(REPORT_MILLIS);
  }
  return world;
}

describe('moves of keys with a declared cost', () => {
  it('are logged with their estimated cost and gain', () => {
    const moves = heatedWorld({ warmSeconds: 5 }).records.filter(
      ({ event }) => event === 'range-move-weighed',
    );
    expect(moves.length).to.be.at.least(1);
    for (const { event, ...fields } of moves) {
      expect(Object.keys(fields)).to.have.members([...(EVENTS['range-move-weighed']?.fields ?? [])]);
      expect(Number(fields.gainMillis)).to.be.above(Number(fields.costMillis));
      expect(event).to.equal('range-move-weighed');
    }
  });

  it('move keys away from an overloaded owner', () => {
    const world = heatedWorld({ warmSeconds: 5 });
    const owners = new Set(Array.from({ length: 40 }, (_, key) => key).map((key) => world.servedBy(key)));
    expect(owners.size).to.be.at.least(2);
  });

  it('are not weighed if no cost is declared, but made all the same', () => {
    const { records } = heatedWorld({});
    expect(records.some(({ event }) => event === 'range-move-weighed')).to.equal(false);
    expect(records.some(({ event, updates }) => event === 'ranges-decided' && Number(updates) > 0)).to.equal(
      true,
    );
  });
});
