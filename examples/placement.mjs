/** Shards of one service placed on two servers; then one of the servers drains. */
import { createPlanner } from 'ternmount/placement';

const planner = createPlanner({
  weights: { unavailability: 1, imbalance: 1, churn: 1 },
  movesPerMinute: 600,
});

function server(id, state) {
  return { id, capacity: 2, mayHold: [], zone: 'zone-a', state };
}

planner.setServer(server('menu-1', 'ready'));
planner.setServer(server('menu-2', 'ready'));
for (let number = 0; number < 4; number += 1) {
  const shard = `menu/all@1/${number}`;
  planner.setShard({ shard, keyspace: 'all', load: 1, owner: null, target: null });
}

/** Carries out a move at once; a real host grants the shard, or hands it over first. */
function carryOut({ shard, from, to, reason }) {
  console.log(`${reason}: ${shard} ${from ?? 'nobody'} -> ${to}`);
  planner.setShard({ shard, keyspace: 'all', load: 1, owner: to, target: null });
}

planner.plan(0).forEach(carryOut);
planner.setServer(server('menu-2', 'draining'));
for (let now = 1000; now <= 5000; now += 1000) {
  planner.plan(now).forEach(carryOut);
}
