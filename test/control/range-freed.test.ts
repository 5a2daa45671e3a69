/** The log names, for each freed range, the proof, the holder, and the age of the last sign of life of the holder. */
import { expect } from 'chai';
import { EVENTS } from '../../src/logging/events.js';
import { HeartbeatWorld } from './heartbeat-world.js';
import { RangeWorld } from './range-world.js';

const IDS = ['u1', 'u2', 'u3', 'u4'];
const FIRST_GRANTS_MILLIS = 4000;
/** Longer than any grant is held, in both simulations. */
const LONG_MILLIS = 12_000;

type Logged = Readonly<Record<string, unknown>>;

function freedFrom(records: readonly Logged[], holder: string | null): Logged[] {
  return records.filter((record) => record.event === 'range-freed' && record.holder === holder);
}

function expectFields([record]: readonly Logged[]): void {
  const { event: _event, ...fields } = record ?? {};
  expect(Object.keys(fields)).to.have.members([...(EVENTS['range-freed']?.fields ?? [])]);
}

describe('the log record of a freed range', () => {
  it('names the proof with grants by heartbeat', () => {
    const world = new HeartbeatWorld();
    for (const id of IDS) {
      world.add(id);
    }
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    expect(freedFrom(world.records, null).map(({ proof }) => proof)).to.include('never-held');
    for (const [id, change] of [
      ['u1', { leaving: true }],
      ['u2', { condition: 'dark' }],
    ] as const) {
      Object.assign(world.upstreams.get(id) ?? {}, change);
    }
    world.run(LONG_MILLIS);
    expect(freedFrom(world.records, 'u1').map(({ proof }) => proof)).to.include('released');
    const silent = freedFrom(world.records, 'u2');
    expect(silent.map(({ proof }) => proof)).to.include('bound');
    expect(silent[0]?.heardAgoMillis).to.be.greaterThan(3000);
    expectFields(silent);
  });

  it('names the proof with grants by call', () => {
    const world = new RangeWorld();
    for (const id of IDS) {
      world.addHolder(id);
    }
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    Object.assign(world.holders.get('u2') ?? {}, { state: 'dark' });
    world.run(LONG_MILLIS);
    const silent = freedFrom(world.records, 'u2');
    expect(silent.map(({ proof }) => proof)).to.include('bound');
    expectFields(silent);
  });
});
