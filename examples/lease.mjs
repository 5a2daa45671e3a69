/** The holder's side of a session lease: a grant, a request that is let in, and the end of the lease. */
import { createGrantHolder, longestLeaseMillis } from 'ternmount/lease';

const holder = createGrantHolder({ cluster: 'north', upstream: 'menu-1', incarnation: 'run-1' });
const shard = 'menu/all@5/0';
const message = {
  cluster: 'north',
  leader: 'r-1',
  term: 3,
  sequence: 1,
  upstream: 'menu-1',
  incarnation: 'run-1',
  validUntil: 2500,
  keyMap: {
    service: 'menu',
    generation: 5,
    keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 1 }],
  },
  orders: [{ type: 'grant', shard, epoch: 9, revision: 9 }],
  complete: true,
  drain: false,
};
const answer = holder.handleSession(message, 1000);
console.log('held', JSON.stringify(answer.held));

const credentials = { shard, epoch: 9, incarnation: 'run-1', key: 'home-12' };
const admission = holder.admit(credentials, 1200);
console.log('may take effect', holder.confirmEffect(admission.ticket, 1300));
console.log('after a pause', holder.confirmEffect(admission.ticket, 2501));
console.log('refused', holder.admit(credentials, 2501).refusal);
console.log('granter waits', longestLeaseMillis({ leaseMillis: 1500, clockRateError: 0.005 }), 'ms');
