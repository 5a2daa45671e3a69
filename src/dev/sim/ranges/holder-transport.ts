/**
 * Carries a control member's calls and questions to range servers. A call that wasn't read before its connection was reset isn't carried
 * out; one that was read may be carried out late and without an answer.
 */
import type { IdentityAnswer, IdentityQuestion } from '../../../control/identity-question.js';
import type { GrantCall, HolderCall, HolderOutcome } from '../../../control/ranges/holder-call.js';
import type { Address } from '../../../model/identifiers.js';
import type { SimControl } from '../control/sim-control.js';
import type { World } from '../world.js';
import { RANGE_LOSSES, type RangeLoss } from './range-losses.js';
import type { SimRangeServer } from './sim-range-server.js';

const CALL_TIMEOUT_MILLIS = 300;

/** Sends a call and passes its outcome to the control member exactly once. */
export function callRangeServer(world: World, control: SimControl, call: HolderCall): void {
  const end = once((outcome: HolderOutcome) =>
    control.input({ type: 'holder-answer', call: call.id, outcome }),
  );
  const server = serverAt(world, call.address);
  if (server === undefined || server.state === 'stopped') {
    const outcome = outcomeAtStopped(server);
    control.schedule(CALL_TIMEOUT_MILLIS, () => end(outcome));
    return;
  }
  if (world.network.isBlocked(control, server)) {
    control.schedule(CALL_TIMEOUT_MILLIS, () => end({ type: 'not-sent' }));
    return;
  }
  if (call.kind === 'grant' && !isCarried(world, control, call, server)) {
    control.schedule(0, () => end({ type: 'unbound' }));
    return;
  }
  const sentAt = world.time.now;
  const { run } = control;
  control.schedule(CALL_TIMEOUT_MILLIS, () => end({ type: 'silent' }));
  world.network.sendDatagram(control, server, () => {
    if (world.time.now - sentAt >= CALL_TIMEOUT_MILLIS) {
      return;
    }
    const lateMillis = server.drawLateness();
    if (lateMillis !== null) {
      server.schedule(
        Math.max(0, lateMillis - (world.time.now - sentAt)),
        () => void server.handleCall(call),
      );
      return;
    }
    const outcome = server.handleCall(call);
    world.network.sendDatagram(server, control, () => {
      if (control.run === run) {
        end(outcome);
      }
    });
  });
}

/** Asks an address which run serves it. */
export function askRangeServer(world: World, control: SimControl, question: IdentityQuestion): void {
  const end = once((answer: IdentityAnswer) =>
    control.input({ type: 'identity-answer', question: question.id, answer }),
  );
  control.schedule(CALL_TIMEOUT_MILLIS, () => end({ type: 'unknown' }));
  const server = serverAt(world, question.address);
  if (server === undefined || server.state === 'stopped') {
    return;
  }
  const { run } = control;
  world.network.sendDatagram(control, server, () => {
    const { id } = server;
    const answer: IdentityAnswer =
      id === question.claimant ? { type: 'named', upstream: id } : { type: 'another' };
    world.network.sendDatagram(server, control, () => {
      if (control.run === run) {
        end(answer);
      }
    });
  });
}

/** Outcomes of calls to servers that are lost for good. */
const OUTCOMES_AT_LOST: Readonly<Record<RangeLoss, HolderOutcome>> = {
  [RANGE_LOSSES.refused]: { type: 'refused' },
  [RANGE_LOSSES.dark]: { type: 'not-sent' },
  [RANGE_LOSSES.mute]: { type: 'silent' },
};

function outcomeAtStopped(server: SimRangeServer | undefined): HolderOutcome {
  if (server !== undefined && server.loss !== null) {
    return OUTCOMES_AT_LOST[server.loss];
  }
  return { type: server?.isSilent ? 'not-sent' : 'refused' };
}

/** Whether a grant may go out: a bound one only if the connection that carried it first leads to the run that serves now. */
function isCarried(world: World, control: SimControl, call: GrantCall, server: SimRangeServer): boolean {
  const grant = `${control.name}/${control.run} ${call.upstream} ${call.fence}`;
  const { firstGrantRuns } = world;
  if (!call.isBound) {
    firstGrantRuns.set(grant, server.incarnation);
  }
  return firstGrantRuns.get(grant) === server.incarnation;
}

function serverAt(world: World, address: Address): SimRangeServer | undefined {
  return world.rangeServers.find((server) => server.address === address);
}

function once<Value>(run: (value: Value) => void): (value: Value) => void {
  let isOver = false;
  return (value) => {
    if (!isOver) {
      isOver = true;
      run(value);
    }
  };
}
