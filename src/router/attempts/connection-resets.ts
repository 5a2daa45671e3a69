/**
 * Detects answers that ended because their connection was reset. An answer without a length ends with its connection;
 * undici reports such an answer as complete also after a reset, although it may be truncated.
 */
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { type Connector, createSettledConnector } from './settled-connector.js';

export class ConnectionResets {
  private failing = false;

  /** Whether the error of a connection is being handled right now, so that an answer which ends now is truncated. */
  get isFailing(): boolean {
    return this.failing;
  }

  /** Returns a connector for direct connections that are watched. */
  connector(options: buildConnector.BuildOptions): Connector {
    return this.watched(createSettledConnector(options));
  }

  /** Returns a connector whose connections are watched for errors by a listener that runs before those of undici. */
  watched(connect: Connector): Connector {
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
      // All listeners of one error run before any microtask.
      queueMicrotask(() => {
        this.failing = false;
      });
    });
  }
}
