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
  /** Calls `done` once all lines are written, or can't be. */
  afterWritten(done: () => void): void;
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

  /** Resolves once all lines are written, or can't be, or after `limitMillis`. */
  flush(limitMillis: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMillis);
      const done = (): void => {
        clearTimeout(timer);
        resolve();
      };
      if (this.#sink === null) {
        done();
      } else {
        this.#sink.afterWritten(done);
      }
    });
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

  afterWritten(done: () => void): void {
    if (this.#socket.writable) {
      this.#socket.write('', done);
    } else {
      done();
    }
  }
}

/** Sink for files and terminals, with at most one write in progress. */
class FileSink implements LineSink {
  #lines: string[] = [];
  #waiting = 0;
  #isWriting = false;
  #doneCallbacks: (() => void)[] = [];

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

  afterWritten(done: () => void): void {
    if (this.#isWriting) {
      this.#doneCallbacks.push(done);
    } else {
      done();
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
      } else {
        this.#callDone();
      }
    });
  }

  #callDone(): void {
    const callbacks = this.#doneCallbacks;
    this.#doneCallbacks = [];
    for (const done of callbacks) {
      done();
    }
  }
}
