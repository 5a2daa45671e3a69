/** Findings about services, upstreams and routers. */
import type { StatusBody } from '../api-types.js';
import type { Finding } from './finding.js';
import type { StatusView } from './status-view.js';

/** A new upstream, or one that was lost, may take this long until its session begins. */
const MAX_GREETING_MILLIS = 3000;
/** A router that has made no request to control for this long has lost its configuration lease. */
const SILENT_ROUTER_MILLIS = 3000;
/** Shards of a lost upstream normally get a new owner within this time. */
const MAX_UNOWNED_MILLIS = 3000;
/** Placement normally balances a load within this time, unless something prevents it. */
const MAX_IMBALANCED_MILLIS = 60_000;

function unownedShards(view: StatusView, best: StatusBody): Finding[] {
  return best.unowned.map(({ service, shards, sinceMillis }) => {
    const declared = [...view.upstreams.values()].filter(({ definition }) => definition.service === service);
    const leased = declared.filter(({ definition }) =>
      best.upstreams.some(({ upstream, state }) => upstream === definition.id && state === 'leased'),
    );
    const advice =
      leased.length === 0
        ? `no upstream of ${service} is leased: start one, or declare one with ternmount upstream add`
        : 'each gets a new owner within 3 s; if not, ternmount shard explain KEY shows why not';
    return {
      severity: sinceMillis >= MAX_UNOWNED_MILLIS ? 'critical' : 'note',
      subject: `service/${service}`,
      problem: `${shards} shards have no owner; requests for their keys are refused`,
      sinceMillis,
      advice,
    };
  });
}

function imbalanceFindings(leader: StatusBody): Finding[] {
  return leader.services.flatMap(({ service, imbalance, imbalancedSinceMillis }): Finding[] => {
    if (
      imbalance === null ||
      imbalancedSinceMillis === null ||
      imbalancedSinceMillis < MAX_IMBALANCED_MILLIS
    ) {
      return [];
    }
    return [
      {
        severity: 'warning',
        subject: `service/${service}`,
        problem: `one upstream carries ${imbalance.toFixed(2)} times the mean load, more than its shards make necessary`,
        sinceMillis: imbalancedSinceMillis,
        advice: `compare ternmount upstream list --service ${service} with mayHold of its upstreams; if moves are too few, raise movesPerMinute or the weight of imbalance (placement) of the service`,
      },
    ];
  });
}

function upstreamFindings(view: StatusView, leader: StatusBody): Finding[] {
  return leader.upstreams.flatMap(({ upstream, state, silentMillis, shards, draining }): Finding[] => {
    const subject = `upstream/${upstream}`;
    const record = view.upstreams.get(upstream)?.definition;
    const place = record === undefined ? '' : ` at ${record.address}`;
    const waitedMillis = silentMillis ?? leader.leaderSinceMillis;
    if (state === 'unreachable' || (state === 'greeting' && waitedMillis >= MAX_GREETING_MILLIS)) {
      const owned = shards > 0 ? `; it still owns ${shards} shards until its lease is over` : '';
      const advice = `start it, or if it is gone for good: ternmount upstream remove ${upstream}`;
      const neverAnswered = silentMillis === null ? ' and never did since this leader began' : '';
      const problem = `the upstream${place} doesn't answer control${neverAnswered}${owned}`;
      return [{ severity: 'warning', subject, problem, sinceMillis: silentMillis, advice }];
    }
    if (record?.leaving) {
      const left = shards > 0 ? `${shards} shards are left, ${draining} of them draining` : 'it owns nothing';
      const problem = `told to leave; ${left}`;
      const advice =
        shards > 0
          ? 'nothing; its shards move by themselves'
          : `stop it; then ternmount upstream remove ${upstream}, or ternmount upstream drain ${upstream} --undo`;
      return [{ severity: 'note', subject, problem, sinceMillis: null, advice }];
    }
    return [];
  });
}

function routerFindings(view: StatusView): Finding[] {
  return view.routers
    .filter(({ connected, silentMillis }) => !connected || silentMillis >= SILENT_ROUTER_MILLIS)
    .map(({ router, connected, silentMillis }) => ({
      severity: connected ? 'warning' : 'note',
      subject: `router/${router}`,
      problem: connected
        ? 'asks for nothing, so it refuses every request'
        : 'its connections ended: it was stopped, or it is lost',
      sinceMillis: silentMillis,
      advice: connected
        ? 'look at its log and its network; start it again if it hangs'
        : 'start it if it should run; callers use the other routers meanwhile',
    }));
}

/** Returns findings about all services, upstreams and routers. */
export function serviceFindings(view: StatusView): Finding[] {
  const { leader, best } = view;
  return [
    ...(best === null ? [] : unownedShards(view, best)),
    ...(leader === null ? [] : imbalanceFindings(leader)),
    ...(leader === null ? [] : upstreamFindings(view, leader)),
    ...routerFindings(view),
  ];
}
