/** Findings about the control cluster, and about zones and upstreams that the leader reports. */
import type { Address, ReplicaId } from '../../model/identifiers.js';
import type { StatusBody } from '../api-types.js';
import type { Finding } from './finding.js';
import { reachableVoters, type StatusView } from './status-view.js';

/** A member without contact to the leader for this long counts as silent; normal contact is many times a second. */
export const SILENT_MEMBER_MILLIS = 2000;
/** Number of log entries by which a follower may lag without a finding. */
const MAX_LAG_ENTRIES = 1000;

function quorumOf(voters: readonly ReplicaId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

function hostOf(address: Address): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Returns the hosts of silent replicas, or of all replicas if there is no leader; another finding covers them. */
function hostsOfSilentReplicas({ leader, best }: StatusView): Set<string> {
  const addresses: Readonly<Record<ReplicaId, Address>> = best?.raft.membership.addresses ?? {};
  const silent = Object.entries(addresses).filter(
    ([replica]) => leader === null || (leader.memberSilentMillis[replica] ?? 0) >= SILENT_MEMBER_MILLIS,
  );
  return new Set(silent.map(([, address]) => hostOf(address)));
}

function unreachableMembers(view: StatusView): Finding[] {
  const silentHosts = hostsOfSilentReplicas(view);
  return view.members
    .filter(({ status, address }) => status === null && !silentHosts.has(hostOf(address)))
    .map(({ address, problem }) => ({
      severity: 'note',
      subject: `control/${address}`,
      problem: `its admin address doesn't answer (${problem})`,
      sinceMillis: null,
      advice: 'check the address, and the network between this host and the member',
    }));
}

function noLeaderFindings(view: StatusView, best: StatusBody | null): Finding[] {
  if (best === null) {
    const advice = 'check the addresses after --control, then start the members: ternmount control run';
    const problem = 'no member answers';
    return [{ severity: 'critical', subject: 'control', problem, sinceMillis: null, advice }];
  }
  const { voters, addresses } = best.raft.membership;
  const reachable = reachableVoters(view, SILENT_MEMBER_MILLIS);
  const silent = voters.filter((voter) => !reachable.includes(voter));
  const missing = quorumOf(voters) - reachable.length;
  const names = silent.map((voter) => `${voter} at ${addresses[voter] ?? '?'}`).join(', ');
  const advice =
    missing > 0
      ? `start ${missing} or more of: ${names}. If their disks are lost see docs/operators/losing-two.md`
      : 'enough members answer, so an election should end in seconds; if not, check the network between them';
  return [
    {
      severity: 'critical',
      subject: 'control',
      problem: `no leader: ${reachable.length} of ${voters.length} voters answer, ${quorumOf(voters)} are needed. Nothing can be changed, and routers refuse requests once their configuration lease is over`,
      sinceMillis: best.leaderSinceMillis,
      advice,
    },
  ];
}

/** Lists evacuated zones, since operators tend to forget an evacuation made during an incident. */
function evacuatedZones({ evacuations = [] }: StatusBody): Finding[] {
  return evacuations.map((zone) => ({
    severity: 'note',
    subject: `zone/${zone}`,
    problem: 'its upstreams are sent nothing new, as an operator ordered',
    sinceMillis: null,
    advice: `ternmount zone restore ${zone} once they may be used again`,
  }));
}

/** Lists upstreams with constraints, since callers see the requests that routers refuse because of them. */
function constrainedUpstreams({ needs = [] }: StatusBody): Finding[] {
  return needs.map(({ upstream, perSecond, heardAgoMillis, restingRouters }) => ({
    severity: 'note',
    subject: `upstream/${upstream}`,
    problem:
      perSecond === null
        ? `rejected requests of ${restingRouters} routers and asked them to back off`
        : `accepts ${perSecond} requests per second from all routers together, according to its responses`,
    sinceMillis: heardAgoMillis,
    advice: 'routers comply, and its keys move to other upstreams; see docs/operators/upstreams-in-need.md',
  }));
}

const PERCENT = 100;

/** Lists zones that send requests to other zones, with the reason, since traffic between zones costs money. */
function spillingZones({ fleet }: StatusBody): Finding[] {
  const spilling = fleet?.zones.filter(({ spill }) => spill.length > 0) ?? [];
  return spilling.map(({ service, zone, use, spill, sinceMillis }) => {
    const parts = spill.map((part) => `${Math.round(part.share * PERCENT)}% to ${part.zone}`).join(', ');
    return {
      severity: 'note',
      subject: `zone/${zone}`,
      problem: `demands more of ${service} than its upstreams there can serve, which are ${Math.round(use * PERCENT)}% busy: sends ${parts}`,
      sinceMillis,
      advice: 'nothing is lost by it but bytes between zones; see docs/operators/uneven-demand.md',
    };
  });
}

/** Speed relative to the mean below which an upstream gets a finding; the status body holds the speeds of all. */
const SLOW_SPEED_RATIO = 0.5;

function slowUpstreams({ fleet }: StatusBody): Finding[] {
  const slow = fleet?.speeds.filter(({ speed }) => speed < SLOW_SPEED_RATIO) ?? [];
  return slow.map(({ upstream, speed, sinceMillis }) => ({
    severity: 'note',
    subject: `upstream/${upstream}`,
    problem: `works at ${speed} of the mean speed of its service`,
    sinceMillis,
    advice: 'routers send it fewer requests; look at its machine; see docs/operators/uneven-demand.md',
  }));
}

function silentMembers(view: StatusView, leader: StatusBody): Finding[] {
  const { voters, addresses } = leader.raft.membership;
  const spare = reachableVoters(view, SILENT_MEMBER_MILLIS).length - quorumOf(voters);
  const silent = Object.entries(leader.memberSilentMillis).filter(
    ([, millis]) => millis >= SILENT_MEMBER_MILLIS,
  );
  return silent.map(([replica, millis]) => {
    const votes = voters.includes(replica);
    const consequence =
      spare === 0 ? 'one more loss stops control' : `${spare} more may be lost before control stops`;
    const join = `ternmount control join in an empty folder, then ternmount control replace ${replica} NEW --address IP:PORT`;
    return {
      severity: votes && spare === 0 ? 'critical' : 'warning',
      subject: `control/${replica}`,
      problem: votes
        ? `the voter at ${addresses[replica]} is silent; ${consequence}`
        : `the learner at ${addresses[replica]} is silent`,
      sinceMillis: millis,
      advice: `start it again. If its disk is lost: ${join}`,
    };
  });
}

function laggingMembers(leader: StatusBody): Finding[] {
  const { commitIndex, matchIndexes, membership } = leader.raft;
  const lagging = Object.entries(matchIndexes).filter(
    ([replica, match]) =>
      commitIndex - match > MAX_LAG_ENTRIES &&
      (leader.memberSilentMillis[replica] ?? 0) < SILENT_MEMBER_MILLIS,
  );
  return lagging.map(([replica, match]) => ({
    severity: membership.voters.includes(replica) ? 'warning' : 'note',
    subject: `control/${replica}`,
    problem: `${commitIndex - match} entries behind`,
    sinceMillis: null,
    advice: 'it catches up by itself; if the number grows, look at its disk and its network',
  }));
}

function changingMembers(leader: StatusBody): Finding[] {
  const { outgoingVoters, voters } = leader.raft.membership;
  const joint: Finding = {
    severity: 'warning',
    subject: 'control',
    problem: `a change of voters is under way: ${outgoingVoters.join(', ')} to ${voters.join(', ')}`,
    sinceMillis: null,
    advice: 'take no member down until it is done; it needs a majority of both lists',
  };
  const waiting = leader.waitingReplicas.map(
    ({ replica, address }): Finding => ({
      severity: 'note',
      subject: `control/${replica}`,
      problem: `the new replica at ${address} waits to be taken in`,
      sinceMillis: null,
      advice: `ternmount control replace OLD ${replica} --address ${address}, or control add ${replica} --address ${address}`,
    }),
  );
  return [...(outgoingVoters.length > 0 ? [joint] : []), ...waiting];
}

/** Finds processes that answer but are neither members nor waiting to join. */
function unknownReplicas(view: StatusView, leader: StatusBody): Finding[] {
  const known = new Set([
    ...Object.keys(leader.raft.membership.addresses),
    ...leader.waitingReplicas.map(({ replica }) => replica),
  ]);
  return view.members.flatMap(({ address, status }): Finding[] => {
    const replica = status?.raft.self;
    if (replica === undefined || known.has(replica)) {
      return [];
    }
    return [
      {
        severity: 'warning',
        subject: `control/${replica}`,
        problem: `the replica that answers at ${address} is no member: it is new or was replaced`,
        sinceMillis: null,
        advice: `if it is new: ternmount control add ${replica} --address IP:PORT. If it was replaced: stop it and move its folder away`,
      },
    ];
  });
}

/** Returns all findings about the control cluster and those that its leader reports. */
export function controlFindings(view: StatusView): Finding[] {
  const { leader, best } = view;
  if (leader === null) {
    return [...noLeaderFindings(view, best), ...unreachableMembers(view)];
  }
  return [
    ...silentMembers(view, leader),
    ...evacuatedZones(leader),
    ...constrainedUpstreams(leader),
    ...spillingZones(leader),
    ...slowUpstreams(leader),
    ...laggingMembers(leader),
    ...changingMembers(leader),
    ...unknownReplicas(view, leader),
    ...unreachableMembers(view),
  ];
}
