/**
 * The worker of a cuttable proxy: forwards connections to an upstream. While its thread is blocked it neither reads nor accepts, so that open
 * connections hang, and new ones too once its short queue is full.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';
import { resetSocket } from './reset-socket.js';

export interface ProxyWorkerData {
  readonly host: string;
  readonly targetHost: string;
  readonly targetPort: number;
  /** One integer: 1 while the thread is blocked. */
  readonly blocked: SharedArrayBuffer;
}

export type ProxyOrder = 'block' | 'refuse' | 'reset' | 'listen' | 'end';

const BACKLOG = 1;
const { host, targetHost, targetPort, blocked } = workerData as ProxyWorkerData;
const flag = new Int32Array(blocked);
const sockets = new Set<Socket>();
let server: Server | null = null;
let port = 0;

function accept(socket: Socket): void {
  const upstream = connect({ host: targetHost, port: targetPort });
  for (const end of [socket, upstream]) {
    sockets.add(end);
    end.on('error', () => {});
    end.on('close', () => {
      sockets.delete(end);
      socket.destroy();
      upstream.destroy();
    });
  }
  socket.pipe(upstream);
  upstream.pipe(socket);
}

function listen(): void {
  const listening = createServer(accept);
  server = listening;
  listening.listen({ host, port, backlog: BACKLOG }, () => {
    port = (listening.address() as { readonly port: number }).port;
    parentPort?.postMessage({ type: 'listening', port });
  });
}

const ORDERS: Readonly<Record<ProxyOrder, () => void>> = {
  block: () => {
    Atomics.store(flag, 0, 1);
    parentPort?.postMessage({ type: 'blocked' });
    Atomics.wait(flag, 0, 1);
  },
  refuse: () => {
    server?.close();
    parentPort?.postMessage({ type: 'refusing' });
  },
  reset: () => {
    for (const socket of sockets) {
      resetSocket(socket);
    }
  },
  listen,
  end: () => {
    server?.close();
    for (const socket of sockets) {
      socket.destroy();
    }
    parentPort?.close();
  },
};

parentPort?.on('message', (order: ProxyOrder) => ORDERS[order]());
listen();
