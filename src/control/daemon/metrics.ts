/** Metrics of a control daemon. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import type { RaftStatus } from '../../consensus/types.js';

/** Makes the gauges, which read the replica's status when they are scraped. */
export function createControlMetrics(status: () => RaftStatus): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const gauge = (name: string, help: string, read: (status: RaftStatus) => number): void => {
    const metric: Gauge = new Gauge({
      name: `ternmount_control_${name}`,
      help,
      registers: [registry],
      collect: () => metric.set(read(status())),
    });
  };
  gauge('is_leader', '1 on the leader, 0 elsewhere', ({ role }) => (role === 'leader' ? 1 : 0));
  gauge('term', 'Raft term', ({ term }) => term);
  gauge('commit_index', 'Index of the last committed log entry', ({ commitIndex }) => commitIndex);
  gauge('last_index', 'Index of the last log entry', ({ lastIndex }) => lastIndex);
  gauge('first_index', 'Index of the first log entry kept', ({ firstIndex }) => firstIndex);
  gauge('voters', 'Replicas that vote', ({ membership }) => membership.voters.length);
  return registry;
}
