/**
 * Writes lines to a file descriptor without ever waiting for its reader: what doesn't fit into a bounded buffer is dropped
 * and counted. Node's own standard output waits for the reader of a pipe, so a pipe is taken over as a socket.
 */
import { fstatSync, write } from 'node:fs';
import { Socket } from 'node:net';

/** Characters that may wait, about. */
const MOST_WAITING = 256 * 1024;

/** Where lines go. */
interface LineSink {
  /** Characters that wait. */
  readonly waiting: number;
  write(text: string): void;
}

export class LogWriter {
  #sink: LineSink | null = null;
  #dropped = 0;

  constructor(private readonly descriptor: number) {}

  /** Lines dropped since the writer was made. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line, or drops it; `false` if it was dropped. */
  line(text: string): boolean {
    this.#sink ??= sinkOf(this.descriptor);
    if (this.#sink.waiting + text.length > MOST_WAITING) {
      this.#dropped += 1;
      return false;
    }
    this.#sink.write(`${text}\n`);
    return true;
  }
}

function sinkOf(descriptor: number): LineSink {
  const kind = fstatSync(descriptor);
  return kind.isFIFO() || kind.isSocket() ? new SocketSink(descriptor) : new FileSink(descriptor);
}

class SocketSink implements LineSink {
  readonly #socket: Socket;

  constructor(descriptor: number) {
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    this.#socket.unref();
    // Nobody reads any more: lines are dropped once the buffer is full.
    this.#socket.on('error', () => {});
  }

  get waiting(): number {
    return this.#socket.writable ? this.#socket.writableLength : MOST_WAITING;
  }

  write(text: string): void {
    this.#socket.write(text);
  }
}

/** A file or a terminal takes bytes at once; one write is under way at a time. */
class FileSink implements LineSink {
  #lines: string[] = [];
  #waiting = 0;
  #isWriting = false;

  constructor(private readonly descriptor: number) {}

  get waiting(): number {
    return this.#waiting;
  }

  write(text: string): void {
    this.#lines.push(text);
    this.#waiting += text.length;
    if (!this.#isWriting) {
      this.#flush();
    }
  }

  #flush(): void {
    const text = this.#lines.join('');
    this.#lines = [];
    this.#isWriting = true;
    write(this.descriptor, text, () => {
      this.#isWriting = false;
      this.#waiting -= text.length;
      if (this.#lines.length > 0) {
        this.#flush();
      }
    });
  }
}
