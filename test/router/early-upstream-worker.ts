/**
 * The worker of an upstream that answers an upload as soon as it has its head, and may end its connection while the rest is still coming. A thread of its own, so that the two ends of a connection act at the same time.
 */
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { parentPort } from 'node:worker_threads';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import type { EarlyAnswer } from './early-upstream.js';

const HEAD_END = '\r\n\r\n';
/** How long a connection that was ended with a FIN stays open with its rest unread. */
const UNREAD_MILLIS = 50;

const END: Readonly<Record<EarlyAnswer['ending'], (socket: Socket) => unknown>> = {
  reset: (socket) => socket.resetAndDestroy(),
  FIN: (socket) => {
    socket.end();
    setTimeout(() => socket.destroy(), UNREAD_MILLIS);
  },
  none: () => {},
};

async function answer(socket: Socket, head: string): Promise<void> {
  const [, target = ''] = head.split(' ', 2);
  const { ending, bodyBytes, holdMillis, reads } = JSON.parse(
    decodeURIComponent(target.slice(1)),
  ) as EarlyAnswer;
  if (!reads) {
    socket.pause();
  }
  const id = new RegExp(`^${DEFAULT_HEADER_NAMES.requestId}: (.*)$`, 'im').exec(head)?.[1];
  const framing = ending === 'none' ? [`content-length: ${bodyBytes}`] : [];
  const lines = ['HTTP/1.1 200 OK', `${DEFAULT_HEADER_NAMES.requestId}: ${id}`, ...framing, '', ''];
  socket.write(lines.join('\r\n') + 'x'.repeat(bodyBytes));
  if (holdMillis >= 0) {
    await sleep(holdMillis);
  }
  END[ending](socket);
}

const sockets = new Set<Socket>();
const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
  let received = '';
  let isAnswered = false;
  sockets.add(socket);
  socket.on('error', () => {});
  socket.on('close', () => sockets.delete(socket));
  socket.on('data', (chunk: Buffer) => {
    if (isAnswered) {
      return;
    }
    received += chunk.toString('latin1');
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd !== -1) {
      isAnswered = true;
      void answer(socket, received.slice(0, headEnd));
    }
  });
});
server.listen(0, '127.0.0.1', () => parentPort?.postMessage((server.address() as AddressInfo).port));
parentPort?.once('message', () => {
  server.close();
  for (const socket of sockets) {
    socket.destroy();
  }
  parentPort?.close();
});
