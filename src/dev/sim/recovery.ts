/** Whether the system is whole again: keys have owners, services answer, operators can change things. */

import type { Simulation } from './simulation.js';
import type { SimUpstream } from './upstream/sim-upstream.js';

/** Bound on the time from the loss of a server to new owners of its keys. */
const NEW_OWNER_MILLIS = 3000;
/** The bound is looked at only if no other fault was under way so shortly before. */
const CALM_BEFORE_MILLIS = 2500;

const CHANGE_AFTER_FAULTS = 'change after the faults';
/** How often, and how far apart, a key without an owner is looked at. */
const LOOKS = 38;
const LOOK_MILLIS = 50;

/** Looks whether what a lost server held gets other owners within 3 s, if the loss comes in calm conditions. */
export function expectNewOwners(simulation: Simulation, lost: SimUpstream): void {
  const { time, activeFaults, lastFaultEnd } = simulation;
  const isCalm =
    activeFaults === 0 && time.now - lastFaultEnd >= CALM_BEFORE_MILLIS && simulation.leader() !== undefined;
  const keys = lost.service.keys.filter((key) => lost.holdingOf(key) !== null);
  if (!isCalm || simulation.isRepairing) {
    return;
  }
  const orphans = new Set(keys);
  let hasHeir = true;
  const look = (): void => {
    hasHeir &&= simulation.upstreams.some(
      (upstream) => isHeir(upstream, lost) && !simulation.zonesOut.has(upstream.zone),
    );
    for (const key of orphans) {
      if (ownersOf(simulation, lost, key) > 0) {
        orphans.delete(key);
      }
    }
  };
  for (let after = LOOK_MILLIS; after <= NEW_OWNER_MILLIS; after += LOOK_MILLIS) {
    time.after(after, look);
  }
  time.after(NEW_OWNER_MILLIS, () => {
    if (!hasHeir || simulation.activeFaults > 1 || simulation.lastFaultEnd > lastFaultEnd) {
      return;
    }
    const [orphan] = orphans;
    simulation.recorder.count('new owners within 3 s looked at');
    simulation.recorder.record({
      type: 'recovery-observed',
      at: time.now,
      subject: `key ${orphan ?? ''} of ${lost.id} after its loss`,
      recovered: orphan === undefined,
    });
  });
}

/** Whether an upstream may own what another one lost: operators may have told all others to leave, or have taken their zones out of use. */
function isHeir(upstream: SimUpstream, lost: SimUpstream): boolean {
  const isPeer = upstream !== lost && upstream.service === lost.service;
  return isPeer && upstream.state === 'running' && !upstream.isAskedToLeave;
}

/** Looks at every key now, and at what callers and operators get in the time after. */
export function observeRecovery(simulation: Simulation, watchMillis: number): void {
  const { recorder, time, upstreams } = simulation;
  const observe = (subject: string, recovered: boolean): void =>
    recorder.record({ type: 'recovery-observed', at: time.now, subject, recovered });
  for (const service of simulation.sizes.services) {
    const first = upstreams.find((upstream) => upstream.service === service) as SimUpstream;
    for (const key of service.keys) {
      lookForOwner(simulation, first, key, LOOKS);
    }
  }
  const before = new Map(recorder.operations);
  simulation.firstOperator().probe(() => recorder.count(CHANGE_AFTER_FAULTS));
  time.after(watchMillis - 1, () => {
    const grew = (name: string): boolean => (recorder.operations.get(name) ?? 0) > (before.get(name) ?? 0);
    for (const { definition } of simulation.sizes.services) {
      observe(`service ${definition.name}`, grew(`answered ${definition.name}`));
    }
    observe('changes', grew(CHANGE_AFTER_FAULTS));
    for (const router of simulation.routers) {
      observe(router.name, router.status()?.serving ?? false);
    }
  });
}

/** A planned move leaves a key without an owner until slow requests are done, so one look proves nothing. */
function lookForOwner(simulation: Simulation, peer: SimUpstream, key: string, looks: number): void {
  const isOwned = ownersOf(simulation, peer, key) === 1;
  const isExcused = hasLostOwnerLately(simulation, peer);
  if (!isOwned && (looks > 1 || isExcused)) {
    simulation.time.after(LOOK_MILLIS, () =>
      lookForOwner(simulation, peer, key, isExcused ? looks : looks - 1),
    );
    return;
  }
  simulation.recorder.record({
    type: 'recovery-observed',
    at: simulation.time.now,
    subject: `owner of ${peer.service.definition.name}/${key}`,
    recovered: isOwned,
  });
}

/** A request may bring a server down while this is looked at; its keys have the usual time to find another owner. */
function hasLostOwnerLately({ upstreams, time }: Simulation, peer: SimUpstream): boolean {
  return upstreams.some(
    ({ service, crashedAt }) => service === peer.service && time.now - crashedAt < NEW_OWNER_MILLIS,
  );
}

function ownersOf(simulation: Simulation, peer: SimUpstream, key: string): number {
  const peers = simulation.upstreams.filter((upstream) => upstream.service === peer.service);
  return peers.filter((upstream) => upstream.state === 'running' && upstream.holdingOf(key) !== null).length;
}
