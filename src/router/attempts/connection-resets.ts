/**
 * Tells whether an answer ended because its connection was reset. An answer without a length ends with its connection;
 * undici takes such an answer for whole also when the connection was reset, which it isn't.
 */
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { createSettledConnector } from './settled-connector.js';

type Connector = ReturnType<typeof buildConnector>;

export class ConnectionResets {
  private failing = false;

  /** Whether a connection is failing in this very moment: what ends now was cut off. */
  get isFailing(): boolean {
    return this.failing;
  }

  /** A connector whose connections are watched. The first listener of an error is this one, undici's come after. */
  connector(options: buildConnector.BuildOptions): Connector {
    const connect = createSettledConnector(options);
    return (target, callback) =>
      connect(target, (...result) => {
        const [error, socket] = result;
        if (error === null) {
          this.watch(socket as Socket);
        }
        callback(...result);
      });
  }

  private watch(socket: Socket): void {
    socket.prependListener('error', () => {
      this.failing = true;
      // Listeners of one error run in a row, before any microtask.
      queueMicrotask(() => {
        this.failing = false;
      });
    });
  }
}
