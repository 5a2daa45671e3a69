/** One forwarded TCP connection: two directions, each delayed, dropped or cut by the rules of the moment. */
import { connect, type Socket } from 'node:net';
import type { ZoneRules } from './zone-rules.js';

/** The ends of a connection. */
export interface ConnectionEnds {
  readonly sourceZone: string;
  readonly targetZone: string;
  readonly targetHost: string;
  readonly targetPort: number;
  readonly delayMillis: number;
}

/** Forwards between `inbound` and a new connection to the target until either ends or the rules refuse it. */
export function forwardConnection(inbound: Socket, ends: ConnectionEnds, rules: ZoneRules): void {
  const { sourceZone, targetZone, targetHost, targetPort } = ends;
  const isRefused = (): boolean =>
    rules.stateOf(sourceZone, targetZone) === 'refuse' || rules.stateOf(targetZone, sourceZone) === 'refuse';
  if (isRefused()) {
    inbound.resetAndDestroy();
    return;
  }
  const outbound = connect({ host: targetHost, port: targetPort });
  const destroyBoth = (): void => {
    inbound.destroy();
    outbound.destroy();
  };
  const checkRules = (): void => {
    if (isRefused()) {
      inbound.resetAndDestroy();
      outbound.resetAndDestroy();
    }
  };
  rules.on('changed', checkRules);
  const delayMillis = sourceZone === targetZone ? 0 : ends.delayMillis;
  const forward = (from: Socket, to: Socket, fromZone: string, toZone: string): void => {
    from.setNoDelay(true);
    const isDropped = (): boolean => rules.stateOf(fromZone, toZone) === 'drop';
    const pass = (action: () => void): void => {
      if (delayMillis === 0) {
        action();
      } else {
        setTimeout(action, delayMillis);
      }
    };
    from.on('data', (bytes) => pass(() => !isDropped() && !to.destroyed && to.write(bytes)));
    from.on('end', () => pass(() => !isDropped() && !to.destroyed && to.end()));
    from.on('error', () => pass(() => !isDropped() && destroyBoth()));
    from.on('close', () => pass(() => !isDropped() && to.destroy()));
  };
  forward(inbound, outbound, sourceZone, targetZone);
  forward(outbound, inbound, targetZone, sourceZone);
  inbound.once('close', () => rules.off('changed', checkRules));
}
