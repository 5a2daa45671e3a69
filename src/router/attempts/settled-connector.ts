/**
 * Creates connections that are used only after they have stayed open for a moment. An upstream at its connection limit accepts a new
 * connection and resets it at once; a request written meanwhile would count as sent, with no proof that it did not run. Nor is one used whose
 * upstream speaks first, as some do that are over their limit: that is no answer to a request, and the HTTP client would open one connection after the
 * other.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { TernmountError } from '../../errors/ternmount-error.js';
import { SocketConnection } from './socket-connection.js';

export type Connector = ReturnType<typeof buildConnector>;

/**
 * Longer than a round trip within a region (1 to 2 ms), so that a reset has arrived by then. The first request of each new connection
 * is delayed by this time.
 */
const SETTLE_MILLIS = 3;

/** Idle time of a connection after which the system sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MILLIS = 60_000;

/** The upstream accepted a connection and closed it, or sent something over it, before anything was sent. */
export class ConnectionTurnedAwayError extends TernmountError {
  constructor() {
    super(
      { code: 'TERNMOUNT_ROUTER_CONNECTION_TURNED_AWAY', retriable: true },
      'the upstream closed a new connection, or spoke first, before anything was sent',
    );
  }
}

export function createSettledConnector(options: buildConnector.BuildOptions): Connector {
  // If set before connecting, keep-alive would be set again once connected, with four system calls each time.
  const connect = buildConnector({ ...options, keepAlive: false, allowHalfOpen: true });
  return (target, callback) =>
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error !== null) {
        callback(error, null);
        return;
      }
      socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MILLIS);
      settle(socket, (isOpen) => {
        if (isOpen) {
          // The HTTP client uses nothing of a socket that other streams lack.
          callback(null, new SocketConnection(socket as Socket) as never);
        } else {
          callback(new ConnectionTurnedAwayError(), null);
        }
      });
    });
}

/**
 * Reports once whether a new connection is still open after `SETTLE_MILLIS`, and nothing came over it; one whose other end is closed or speaks first is
 * closed here too.
 */
export function settle(socket: Socket, report: (isOpen: boolean) => void): void {
  const ignoreError = (): void => {};
  const close = (): void => {
    socket.destroy();
  };
  const onClose = (): void => {
    clearTimeout(timer);
    report(false);
  };
  const timer = setTimeout(() => {
    socket.off('end', close);
    socket.off('close', onClose);
    socket.off('error', ignoreError);
    if (socket.readableLength > 0) {
      socket.destroy();
    }
    report(!socket.destroyed);
  }, SETTLE_MILLIS);
  // An error is followed by `close`, which reports it.
  socket.on('error', ignoreError);
  socket.once('end', close);
  socket.once('close', onClose);
}
