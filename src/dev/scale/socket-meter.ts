/** Counts the bytes of every TCP socket of this process without changes to the code that owns the sockets. */
import diagnostics from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

const CHANNELS = ['net.server.socket', 'net.client.socket'];

export interface ByteCount {
  readonly bytesIn: number;
  readonly bytesOut: number;
}

export class SocketMeter {
  private readonly open = new Set<Socket>();
  private closedIn = 0;
  private closedOut = 0;
  private readonly listener = (message: unknown): void => this.track((message as { socket: Socket }).socket);

  /** Starts to count; includes only sockets that are created later. */
  start(): void {
    for (const channel of CHANNELS) {
      diagnostics.subscribe(channel, this.listener);
    }
  }

  stop(): void {
    for (const channel of CHANNELS) {
      diagnostics.unsubscribe(channel, this.listener);
    }
  }

  /** Returns the payload bytes since the start, including closed sockets. */
  read(): ByteCount {
    let bytesIn = this.closedIn;
    let bytesOut = this.closedOut;
    for (const socket of this.open) {
      bytesIn += socket.bytesRead;
      bytesOut += socket.bytesWritten;
    }
    return { bytesIn, bytesOut };
  }

  private track(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedIn += socket.bytesRead;
      this.closedOut += socket.bytesWritten;
    });
  }
}
