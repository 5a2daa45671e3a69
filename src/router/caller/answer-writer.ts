/**
 * Gives one large answer to one caller, once it is at the front of its connection, and holds what the caller doesn't take
 * yet. An answer that breaks before it began for its caller can still be replaced.
 */
import type { ServerResponse } from 'node:http';

/** The connection's account of what is held for it. */
export interface WriterAccount {
  /** So many more bytes are held, or fewer. */
  hold(bytes: number): void;
  hasRoom(): boolean;
  /** Calls back once when it may have room. */
  whenReleased(wake: () => void): void;
  forget(wake: () => void): void;
}

export interface AnswerWriterParts {
  readonly response: ServerResponse;
  readonly status: number;
  readonly headers: string[];
  readonly account: WriterAccount;
  /** The source of the answer broke. */
  readonly broke: (begun: boolean) => void;
}

const NOTHING = (): void => {};

export class AnswerWriter {
  /** Called when more may be written after `write` gave `false`. */
  onRoom: () => void = NOTHING;
  /** Called when the caller is gone before the answer was whole. */
  onGone: () => void = NOTHING;
  readonly #parts: AnswerWriterParts;
  #chunks: Buffer[] = [];
  #heldBytes = 0;
  /** Bytes of the piece that the socket hasn't passed on. */
  #unsentBytes = 0;
  #begun = false;
  #blocked = false;
  #ended = false;
  #over = false;
  readonly #retry = (): void => this.#reportRoom();

  constructor(parts: AnswerWriterParts) {
    this.#parts = parts;
  }

  /** The connection is free for this answer. */
  begin(): void {
    const { response, status, headers } = this.#parts;
    if (this.#over || this.#begun) {
      return;
    }
    this.#begun = true;
    response.on('drain', () => this.#drained());
    response.writeHead(status, headers);
    response.flushHeaders();
    this.#flush();
    // An answer at the front may be read on whatever others hold; it may have been told to wait while it was behind one.
    this.#reportRoom();
  }

  /** Gives `false` if nothing more should be read until `onRoom` is called. */
  write(chunk: Buffer): boolean {
    if (this.#over) {
      return true;
    }
    if (this.#begun && !this.#blocked && this.#chunks.length === 0) {
      this.#send(chunk);
    } else {
      this.#chunks.push(chunk);
      this.#heldBytes += chunk.length;
      this.#parts.account.hold(chunk.length);
    }
    return this.#hasRoom();
  }

  /** Whether more may be written now; else `onRoom` is called. */
  hasRoom(): boolean {
    return this.#over || this.#hasRoom();
  }

  end(): void {
    this.#ended = true;
    this.#flush();
  }

  /** Breaks off the answer; its caller never takes a piece for the whole. */
  breakOff(): void {
    if (!this.#over) {
      this.#close();
      this.#parts.broke(this.#begun);
    }
  }

  /** The request is over, whether or not its answer was given whole. */
  close(): void {
    if (!this.#over) {
      this.#close();
      this.onGone();
    }
  }

  #close(): void {
    this.#over = true;
    const heldBytes = this.#heldBytes + this.#unsentBytes;
    this.#chunks = [];
    this.#heldBytes = 0;
    this.#unsentBytes = 0;
    this.#parts.account.forget(this.#retry);
    this.#parts.account.hold(-heldBytes);
  }

  #hasRoom(): boolean {
    const { account } = this.#parts;
    if ((this.#begun && !this.#blocked) || account.hasRoom()) {
      return true;
    }
    account.whenReleased(this.#retry);
    return false;
  }

  #reportRoom(): void {
    if (!this.#over && this.#hasRoom()) {
      this.#parts.account.forget(this.#retry);
      this.onRoom();
    }
  }

  #drained(): void {
    if (this.#over) {
      return;
    }
    const sentBytes = this.#unsentBytes;
    this.#unsentBytes = 0;
    this.#blocked = false;
    this.#parts.account.hold(-sentBytes);
    this.#flush();
    this.#reportRoom();
  }

  /** Sends what is held as far as the socket takes it. An answer ends when all of it is sent, so a planned stop can't cut it. */
  #flush(): void {
    if (!this.#begun || this.#over) {
      return;
    }
    let sentBytes = 0;
    while (!this.#blocked && this.#chunks.length > 0) {
      const chunk = this.#chunks.shift() as Buffer;
      sentBytes += chunk.length;
      this.#send(chunk);
    }
    this.#heldBytes -= sentBytes;
    this.#parts.account.hold(-sentBytes);
    if (this.#ended && !this.#blocked) {
      this.#parts.response.end();
    }
  }

  #send(chunk: Buffer): void {
    if (!this.#parts.response.write(chunk)) {
      this.#blocked = true;
      this.#unsentBytes += chunk.length;
      this.#parts.account.hold(chunk.length);
    }
  }
}
