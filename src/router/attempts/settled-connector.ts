/**
 * Makes connections that are used only once they have stood for a moment. An upstream that has enough connections takes a new
 * one and resets it at once; a request written meanwhile would count as sent, and nobody could say that it did not run.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { TernmountError } from '../../errors/ternmount-error.js';

type Connector = ReturnType<typeof buildConnector>;

/**
 * Longer than the way there and back within a region (1 to 2 ms), so that the reset is here by then. Each new connection costs
 * its first request this much.
 */
const SETTLE_MILLIS = 3;

/** Rest of a connection after which the system asks whether its other end is still there. */
const PROBE_AFTER_MILLIS = 60_000;

/** The upstream took a connection and ended it before anything was sent. */
export class ConnectionTurnedAwayError extends TernmountError {
  constructor() {
    super(
      { code: 'TERNMOUNT_ROUTER_CONNECTION_TURNED_AWAY', retriable: true },
      'the upstream ended a new connection before anything was sent',
    );
  }
}

export function createSettledConnector(options: buildConnector.BuildOptions): Connector {
  // Set before it is connected, probes are set a second time then, each time by four calls of the system.
  const connect = buildConnector({ ...options, keepAlive: false });
  return (target, callback) =>
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error !== null) {
        callback(error, null);
        return;
      }
      socket.setKeepAlive(true, PROBE_AFTER_MILLIS);
      settle(socket, (stands) => {
        if (stands) {
          callback(null, socket);
        } else {
          callback(new ConnectionTurnedAwayError(), null);
        }
      });
    });
}

/** Reports once whether a connection still stands after a moment. */
function settle(socket: Socket, report: (stands: boolean) => void): void {
  const ignore = (): void => {};
  const closed = (): void => {
    clearTimeout(timer);
    report(false);
  };
  const timer = setTimeout(() => {
    socket.off('close', closed);
    socket.off('error', ignore);
    report(!socket.destroyed);
  }, SETTLE_MILLIS);
  // What went wrong is told by its end.
  socket.on('error', ignore);
  socket.once('close', closed);
}
