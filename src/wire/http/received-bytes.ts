/** Bounds what a request receives in all: a faulty server may send a head or a body without end, and slowly enough to pass for busy. */
import type { ClientRequest } from 'node:http';

/** Calls `onExceeded` once if more than `maxBytes` arrive for a request, whatever they are. */
export function limitReceivedBytes(outgoing: ClientRequest, maxBytes: number, onExceeded: () => void): void {
  outgoing.on('socket', (socket) => {
    let receivedBytes = 0;
    const stop = (): void => {
      socket.off('data', count);
    };
    const count = (chunk: Buffer): void => {
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) {
        stop();
        onExceeded();
      }
    };
    socket.on('data', count);
    outgoing.once('close', stop);
  });
}
