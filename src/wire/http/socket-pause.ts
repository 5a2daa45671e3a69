/**
 * Pauses and resumes reading of a socket that an HTTP server owns. The server itself resumes its sockets after each message,
 * so `resume` is replaced by a no-op while the socket is paused.
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
    // An earlier `resume` takes effect in the next tick and would undo a pause made now.
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
    // Removing the override restores the method of the class.
    Reflect.deleteProperty(this.#socket, 'resume');
    this.#socket.resume();
  }
}
