/** Checks whether the system has recovered: keys have owners, services answer and operators can make changes. */

import type { Simulation } from './simulation.js';
import type { SimUpstream } from './upstream/sim-upstream.js';

/** Bound on the time from the loss of a server to new owners of its keys. */
const NEW_OWNER_MILLIS = 3000;
/** The bound is checked only if no other fault was active within this time before. */
const CALM_BEFORE_MILLIS = 2500;

const CHANGE_AFTER_FAULTS = 'change after the faults';
/** Number of checks of a key without an owner, and the interval between them. */
const OWNER_CHECKS = 38;
const OWNER_CHECK_INTERVAL_MILLIS = 50;

/** Checks whether the keys of a lost server get new owners within 3 s, if the loss occurs in calm conditions. */
export function expectNewOwners(simulation: Simulation, lost: SimUpstream): void {
  const { time, activeFaults, lastFaultEnd } = simulation;
  const isCalm =
    activeFaults === 0 && time.now - lastFaultEnd >= CALM_BEFORE_MILLIS && simulation.leader() !== undefined;
  const keys = lost.service.keys.filter((key) => lost.holdingOf(key) !== null);
  if (!isCalm || simulation.isRepairing) {
    return;
  }
  const unownedKeys = new Set(keys);
  let hasSuccessor = true;
  const check = (): void => {
    hasSuccessor &&= simulation.upstreams.some(
      (upstream) => canTakeOver(upstream, lost) && !simulation.evacuatedZones.has(upstream.zone),
    );
    for (const key of unownedKeys) {
      if (ownersOf(simulation, lost, key) > 0) {
        unownedKeys.delete(key);
      }
    }
  };
  for (
    let after = OWNER_CHECK_INTERVAL_MILLIS;
    after <= NEW_OWNER_MILLIS;
    after += OWNER_CHECK_INTERVAL_MILLIS
  ) {
    time.after(after, check);
  }
  time.after(NEW_OWNER_MILLIS, () => {
    if (!hasSuccessor || simulation.activeFaults > 1 || simulation.lastFaultEnd > lastFaultEnd) {
      return;
    }
    const [unownedKey] = unownedKeys;
    simulation.recorder.count('new owners within 3 s looked at');
    simulation.recorder.record({
      type: 'recovery-observed',
      at: time.now,
      subject: `key ${unownedKey ?? ''} of ${lost.id} after its loss`,
      recovered: unownedKey === undefined,
    });
  });
}

/** Whether an upstream may own the keys of a lost one; operators may have drained all others or evacuated their zones. */
function canTakeOver(upstream: SimUpstream, lost: SimUpstream): boolean {
  const isPeer = upstream !== lost && upstream.service === lost.service;
  return isPeer && upstream.state === 'running' && !upstream.isDrainRequested;
}

/** Checks the owner of every key now, and the responses to callers and operators during `observationMillis` after. */
export function observeRecovery(simulation: Simulation, observationMillis: number): void {
  const { recorder, time, upstreams } = simulation;
  const observe = (subject: string, recovered: boolean): void =>
    recorder.record({ type: 'recovery-observed', at: time.now, subject, recovered });
  for (const service of simulation.sizes.services) {
    const first = upstreams.find((upstream) => upstream.service === service) as SimUpstream;
    for (const key of service.keys) {
      checkOwner(simulation, first, key, OWNER_CHECKS);
    }
  }
  const before = new Map(recorder.operations);
  simulation.firstOperator().probe(() => recorder.count(CHANGE_AFTER_FAULTS));
  time.after(observationMillis - 1, () => {
    const hasIncreased = (name: string): boolean =>
      (recorder.operations.get(name) ?? 0) > (before.get(name) ?? 0);
    for (const { definition } of simulation.sizes.services) {
      observe(`service ${definition.name}`, hasIncreased(`answered ${definition.name}`));
    }
    observe('changes', hasIncreased(CHANGE_AFTER_FAULTS));
    for (const router of simulation.routers) {
      observe(router.name, router.status()?.serving ?? false);
    }
  });
}

/** Checks repeatedly, since a planned move leaves a key without an owner until slow requests finish. */
function checkOwner(simulation: Simulation, peer: SimUpstream, key: string, checksLeft: number): void {
  const isOwned = ownersOf(simulation, peer, key) === 1;
  const isExcused = hasCrashedRecently(simulation, peer);
  if (!isOwned && (checksLeft > 1 || isExcused)) {
    simulation.time.after(OWNER_CHECK_INTERVAL_MILLIS, () =>
      checkOwner(simulation, peer, key, isExcused ? checksLeft : checksLeft - 1),
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

/** Whether a request crashed a server of the service recently; its keys then have the usual time to get a new owner. */
function hasCrashedRecently({ upstreams, time }: Simulation, peer: SimUpstream): boolean {
  return upstreams.some(
    ({ service, crashedAt }) => service === peer.service && time.now - crashedAt < NEW_OWNER_MILLIS,
  );
}

function ownersOf(simulation: Simulation, peer: SimUpstream, key: string): number {
  const peers = simulation.upstreams.filter((upstream) => upstream.service === peer.service);
  return peers.filter((upstream) => upstream.state === 'running' && upstream.holdingOf(key) !== null).length;
}
