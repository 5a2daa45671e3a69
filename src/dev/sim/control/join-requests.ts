/** Join requests of a control member, sent to all others for as long as it is no member or knows no leader. */
import { JoinWatch } from '../../../control/join-watch.js';
import type { World } from '../world.js';
import type { SimControl } from './sim-control.js';

const REQUEST_MILLIS = 1000;
/** Time for which a new replica stays silent under `vote-after-next-loss`. */
const LATE_REQUEST_MILLIS = 8000;

/** Begins to look whether the member has to request to join; ends with the run of its process. */
export function startJoining(world: World, control: SimControl): void {
  const watch = new JoinWatch();
  const look = (): void => {
    control.schedule(REQUEST_MILLIS, look);
    const status = control.status();
    if (status === null) {
      return;
    }
    watch.look(status);
    if (watch.shouldRequestJoin) {
      requestJoin(world, control);
    }
  };
  control.schedule(world.sabotage === 'vote-after-next-loss' ? LATE_REQUEST_MILLIS : 0, look);
}

function requestJoin(world: World, control: SimControl): void {
  const { replica, address } = control;
  for (const other of world.controls) {
    if (other !== control) {
      const deliver = (): void => other.input({ type: 'join-request', replica, address });
      world.network.sendDatagram(control, other, deliver);
    }
  }
}
