/**
 * Stops and resumes the reading of a socket that an HTTP server owns. The server resumes its sockets by itself after each
 * message, so while the reading is stopped its calls are kept off.
 */
import type { Socket } from 'node:net';

export class SocketPause {
  readonly #socket: Socket;
  #paused = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  get isPaused(): boolean {
    return this.#paused;
  }

  pause(): void {
    if (this.#paused) {
      return;
    }
    this.#paused = true;
    const socket = this.#socket;
    socket.resume = () => socket;
    // A resumption that was asked for before takes place in the next tick, and would undo an earlier pause.
    process.nextTick(() => {
      if (this.#paused) {
        socket.pause();
      }
    });
  }

  resume(): void {
    if (!this.#paused) {
      return;
    }
    this.#paused = false;
    // The server's own method is that of the class.
    Reflect.deleteProperty(this.#socket, 'resume');
    this.#socket.resume();
  }
}
