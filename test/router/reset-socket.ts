/** Resets of connections in the midst of whatever they do. */
import type { Socket } from 'node:net';

/** Resets a connection, or closes it where its end is being sent: a reset that the system refuses would leave it open for good. */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
