/** The router's core with a configuration of one service: a request comes in, an attempt goes out and is delivered. */
import { createRouterNode } from 'ternmount/routing';

const control = '10.0.0.1:7400';
const config = {
  router: 'router-1',
  incarnation: 'run-1',
  zone: 'zone-a',
  seed: 1,
  control: [control],
  configLease: { configLeaseMillis: 1800, syncMillis: 400, clockRateError: 0.005 },
  claimTimeoutMillis: 1000,
};
const service = {
  name: 'listing',
  keyed: false,
  repeatable: true,
  priority: 'interactive',
  deadlineMillis: 2000,
  slotsPerUpstream: 2,
  retryBudget: 0.1,
  queueLimit: 16,
  holdLimitMillis: 1000,
  coalesce: false,
  wholeAnswerBytes: 65_536,
  retentionMillis: 3_600_000,
  placement: { unavailability: 1, imbalance: 1, churn: 1 },
  movesPerMinute: 12,
  keyspaces: [],
  policy: [],
};
const upstream = {
  id: 'listing-1',
  service: 'listing',
  address: '10.0.1.1:8080',
  zone: 'zone-a',
  mayHold: [],
  leaving: false,
};
const snapshot = {
  revision: 7,
  services: [{ definition: service, revision: 6, generation: 6 }],
  upstreams: [{ definition: upstream, revision: 7, incarnation: null }],
  shards: [],
  routes: [],
  declaration: null,
  ranges: [],
};

const router = createRouterNode(config, 0);
const [sync] = router.step({ type: 'tick' }, 0, 0).filter(({ type }) => type === 'send-control');
const message = {
  type: 'sync-response',
  stamp: sync.message.stamp,
  confirmed: true,
  revision: 7,
  snapshot,
  delta: null,
  leader: control,
  members: [control],
};
router.step({ type: 'control-message', from: control, message }, 5, 5);
console.log('serving', router.status().serving);

const request = {
  request: 1,
  service: 'listing',
  key: null,
  method: 'GET',
  target: '/listing/today',
  deadlineMillis: null,
  idempotency: null,
};
const dispatch = router.step({ type: 'request', request }, 10, 10).find(({ type }) => type === 'dispatch');
console.log('dispatch to', dispatch.upstream, 'within', dispatch.deadlineMillis, 'ms');
const result = { type: 'answered', status: 200, load: 0, stored: null };
const ended = { type: 'attempt-ended', attempt: dispatch.attempt, result };
console.log(router.step(ended, 18, 18).map(({ type }) => type));
