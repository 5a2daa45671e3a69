/**
 * Accepts the connections that wait for it, before a server closes its port: the system resets those that still wait then. One is accepted in each turn
 * of the event loop. None is read meanwhile, since callers that are answered come back on new connections, and there might be no end of them.
 */
import type { Server, Socket } from 'node:net';
import { nextTurn } from '../event-loop.js';
import { SocketPause } from './socket-pause.js';

/** Longest time for which a stopping server accepts what waits. */
const MAX_ACCEPT_MILLIS = 1000;

/** Resolves when no connection waits. The returned function has the accepted ones read. */
export async function acceptWaiting(server: Server): Promise<() => void> {
  const deadline = performance.now() + MAX_ACCEPT_MILLIS;
  const accepted: SocketPause[] = [];
  const onConnection = (socket: Socket): void => {
    const pause = new SocketPause(socket);
    pause.pause();
    accepted.push(pause);
  };
  server.on('connection', onConnection);
  let known = -1;
  while (accepted.length > known && performance.now() < deadline) {
    known = accepted.length;
    await nextTurn();
  }
  server.off('connection', onConnection);
  return () => {
    for (const pause of accepted) {
      pause.resume();
    }
  };
}
