/** Looks whether anything takes connections at an upstream's address, to tell a run that has ended from a connection that broke. */
import { connect } from 'node:net';
import type { Address } from '../../model/identifiers.js';
import type { RunCheck } from '../../routing/types.js';
import { parseAddress } from '../../wire/address.js';

export interface RunCheckOptions {
  /** Own IP number from which the connection goes out; the system's choice if left out. */
  readonly localAddress?: string | undefined;
  /** After this nothing is known. */
  readonly timeoutMillis: number;
}

/** Calls back once. Nothing is sent on the connection. */
export function checkRun(address: Address, options: RunCheckOptions, done: (check: RunCheck) => void): void {
  const { host, port } = parseAddress(address);
  const { localAddress, timeoutMillis } = options;
  const socket = connect({ host, port, ...(localAddress !== undefined && { localAddress }) });
  let isDone = false;
  const end = (check: RunCheck): void => {
    if (!isDone) {
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      done(check);
    }
  };
  const timer = setTimeout(() => end('silent'), timeoutMillis);
  socket.once('connect', () => end('there'));
  // Only a refusal says that nothing listens there; a machine that is cut off or switched off says nothing of its processes.
  socket.on('error', ({ code }: NodeJS.ErrnoException) => end(code === 'ECONNREFUSED' ? 'gone' : 'silent'));
}
