/**
 * Guards against two servers holding the same keys after an operator removed one of them while it was up.
 *
 * An operator removed an upstream that owned ranges, which was permitted because only shards were checked. An owner
 * without a record counted as holding nothing, so its keys were reassigned at once, while it still held them under
 * its last grants.
 *
 * The cause was that a missing registry record was taken as proof that its holder held nothing.
 */
import { HeartbeatWorld } from './heartbeat-world.js';
import { RangeWorld } from './range-world.js';

const FIRST_GRANTS_MILLIS = 5000;

describe('an owner of ranges that an operator removes', () => {
  it('is the only holder, with grants by calls', () => {
    const world = new RangeWorld();
    for (const id of ['u1', 'u2', 'u3', 'u4']) {
      world.addHolder(id);
    }
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    const revision = world.registry.upstreams().get('u2')?.revision ?? 0;
    world.apply({ type: 'upstream-remove', upstream: 'u2', expected: revision });
    // The simulation checks all holders after each event.
    world.run(FIRST_GRANTS_MILLIS);
  });

  it('is the only holder, with grants by heartbeats', () => {
    const world = new HeartbeatWorld();
    for (const id of ['u1', 'u2', 'u3', 'u4']) {
      world.add(id);
    }
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    const revision = world.registry.upstreams().get('u2')?.revision ?? 0;
    world.apply({ type: 'upstream-remove', upstream: 'u2', expected: revision });
    world.run(FIRST_GRANTS_MILLIS);
  });
});
