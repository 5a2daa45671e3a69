/** A planned stop of an upstream's HTTP server, after its fence was drained. */
import type { Server } from 'node:http';
import { GracefulServer } from '../wire/http/graceful-server.js';

/** Requests that are on their way when the fence was drained are still answered: the fence refuses them. */
const IDLE_MILLIS = 200;

export interface ServerStopOptions {
  /** Longest wait for those who called to take their last answers and close their ends, in milliseconds. */
  readonly graceMillis: number;
}

/** Stops a server; resolves when all its connections are closed. */
export type ServerStop = (options: ServerStopOptions) => Promise<void>;

/**
 * Prepares a server, before it listens, for a stop that loses nothing: answers go out whole however slowly they are read, and what comes meanwhile
 * doesn't reset their connection. The server's own `closeIdleConnections` counts a connection as idle whose answer still waits in the process.
 */
export function createServerStop(server: Server): ServerStop {
  const graceful = new GracefulServer(server);
  return ({ graceMillis }) => graceful.stop({ idleMillis: IDLE_MILLIS, graceMillis });
}
