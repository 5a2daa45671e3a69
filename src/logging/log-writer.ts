/**
 * Writes lines to a file descriptor without blocking on its reader: lines that don't fit into a bounded buffer are dropped
 * and counted. Node's standard output blocks on the reader of a pipe, so a pipe is wrapped in a socket.
 */
import { fstatSync, write } from 'node:fs';
import { Socket } from 'node:net';

/** Approximate bound of the buffer. */
const MAX_BUFFERED_CHARACTERS = 256 * 1024;

/** Destination of lines. */
interface LineSink {
  /** Buffered characters. */
  readonly waiting: number;
  write(text: string): void;
}

export class LogWriter {
  #sink: LineSink | null = null;
  #dropped = 0;

  constructor(private readonly descriptor: number) {}

  /** Lines dropped since the writer was created. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line; returns `false` if it was dropped. */
  line(text: string): boolean {
    this.#sink ??= createSink(this.descriptor);
    if (this.#sink.waiting + text.length > MAX_BUFFERED_CHARACTERS) {
      this.#dropped += 1;
      return false;
    }
    this.#sink.write(`${text}\n`);
    return true;
  }
}

function createSink(descriptor: number): LineSink {
  const kind = fstatSync(descriptor);
  return kind.isFIFO() || kind.isSocket() ? new SocketSink(descriptor) : new FileSink(descriptor);
}

class SocketSink implements LineSink {
  readonly #socket: Socket;

  constructor(descriptor: number) {
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    this.#socket.unref();
    // The reader is gone; lines are dropped once the buffer is full.
    this.#socket.on('error', () => {});
  }

  get waiting(): number {
    return this.#socket.writable ? this.#socket.writableLength : MAX_BUFFERED_CHARACTERS;
  }

  write(text: string): void {
    this.#socket.write(text);
  }
}

/** Sink for files and terminals, with at most one write in progress. */
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
