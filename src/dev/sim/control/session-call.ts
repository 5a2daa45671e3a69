/** Sends session requests of a control member to upstreams; requests and answers may be lost, delayed or duplicated. */
import type { ControlEffect } from '../../../control/types.js';
import type { SessionAnswer, SessionRequest } from '../../../lease/types.js';
import type { World } from '../world.js';
import type { SimControl } from './sim-control.js';

/** A call without an answer within this time counts as failed. */
const SESSION_TIMEOUT_MILLIS = 300;

type UpstreamCall = Extract<ControlEffect, { readonly type: 'call-upstream' }>;

/** Sends a request and passes its answer or failure to the control member exactly once. */
export function callUpstream(
  world: World,
  control: SimControl,
  call: UpstreamCall,
  request: SessionRequest,
): void {
  const { upstream } = call;
  const { sequence } = call.request;
  let isOver = false;
  const end = (answer: SessionAnswer | null): void => {
    if (isOver) {
      return;
    }
    isOver = true;
    control.input(
      answer === null
        ? { type: 'upstream-failed', upstream, sequence }
        : { type: 'upstream-answer', upstream, sequence, answer },
    );
  };
  control.schedule(SESSION_TIMEOUT_MILLIS, () => end(null));
  const target = world.upstreams.find((candidate) => candidate.id === upstream);
  if (target === undefined) {
    return;
  }
  if (target.state === 'stopped' && !target.isSilent) {
    control.schedule(world.network.latency(control, target) * 2, () => end(null));
    return;
  }
  const { run } = control;
  world.network.sendDatagram(control, target, () => {
    const answer = target.handleSession(request);
    world.network.sendDatagram(target, control, () => {
      if (control.run === run) {
        end(answer);
      }
    });
  });
}
