/** Checks whether a process accepts connections at an upstream's address, to distinguish an ended run from a broken connection. */
import { connect } from 'node:net';
import type { Address } from '../../model/identifiers.js';
import type { RunCheck } from '../../routing/types.js';
import { parseAddress } from '../../wire/address.js';

export interface RunCheckOptions {
  /** Local IP address of the connection; chosen by the system if left out. */
  readonly localAddress?: string | undefined;
  /** Time limit, after which the result is `silent`. */
  readonly timeoutMillis: number;
}

/** Calls back once. Nothing is sent on the connection. */
export function checkRun(address: Address, options: RunCheckOptions, done: (check: RunCheck) => void): void {
  const { host, port } = parseAddress(address);
  const { localAddress, timeoutMillis } = options;
  const socket = connect({ host, port, ...(localAddress !== undefined && { localAddress }) });
  let isDone = false;
  const finish = (check: RunCheck): void => {
    if (!isDone) {
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      done(check);
    }
  };
  const timer = setTimeout(() => finish('silent'), timeoutMillis);
  socket.once('connect', () => finish('there'));
  // Only a refused connection proves that nothing listens there; an unreachable machine gives no evidence of its processes.
  socket.on('error', ({ code }: NodeJS.ErrnoException) =>
    finish(code === 'ECONNREFUSED' ? 'gone' : 'silent'),
  );
}
