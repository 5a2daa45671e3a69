/**
 * Takes interim answers (RFC 9110, 15.2) out of the bytes of a connection. They end no exchange, but the HTTP client's parser reads nothing
 * behind one that says `Connection: close`, and takes 100 for a fault. Switching protocols (101) is no interim answer here: nobody asks for it, and
 * what stands behind it is no answer.
 */
import { ownEntry } from '../../text/own-entry.js';

/** Start of an interim answer; some of its characters stand for a class. */
const STATUS_LINE = 'HTTP/1.# 1##$';
const CHARACTER_CLASSES: Readonly<Record<string, RegExp>> = {
  '#': /[0-9]/,
  // What may stand behind a status: one of four digits is no interim one.
  $: /[ \t\r\n]/,
};
const SWITCHING_PROTOCOLS = /^HTTP\/1\.[0-9] 101/;
const SAYS_CLOSE = /^HTTP\/1\.0|\nconnection:[^\n]*\bclose\b/i;
/** Ends of a head; servers may end lines with bare line feeds. */
const HEAD_ENDS = ['\n\r\n', '\n\n'] as const;
/** Bytes of interim answers that may come before an answer. */
const MAX_INTERIM_BYTES = 64 * 1024;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING = Buffer.alloc(0);

export class InterimFilter {
  /** Whether a head is expected, or one of an interim answer has begun. */
  #isLooking = false;
  /** Bytes of a head of which more must come. */
  #held: Buffer = NOTHING;
  #droppedBytes = 0;
  #saysClose = false;

  /** Whether an interim answer says that its connection is closed after the exchange. */
  get saysClose(): boolean {
    return this.#saysClose;
  }

  /** Whether more bytes came as interim answers than may. */
  get isExceeded(): boolean {
    return this.#droppedBytes + this.#held.length > MAX_INTERIM_BYTES;
  }

  /** The next bytes are those of an answer. */
  expectAnswer(): void {
    this.#isLooking = true;
    this.#held = NOTHING;
    this.#droppedBytes = 0;
  }

  /** Returns the bytes that are left. The start of what may be an interim answer is held until that is known. */
  pass(bytes: Uint8Array): Uint8Array {
    if (!this.#isLooking) {
      return bytes;
    }
    const own = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    let rest = this.#held.length === 0 ? own : Buffer.concat([this.#held, own]);
    this.#held = NOTHING;
    while (rest.length > 0) {
      const emptyBytes = emptyLineBytes(rest);
      this.#droppedBytes += emptyBytes;
      rest = rest.subarray(emptyBytes);
      if (!startsInterim(rest)) {
        this.#isLooking = false;
        return rest;
      }
      const end = rest.length < STATUS_LINE.length ? -1 : headEnd(rest);
      if (end === -1) {
        this.#held = rest;
        return NOTHING;
      }
      this.#drop(rest.subarray(0, end));
      rest = rest.subarray(end);
    }
    return NOTHING;
  }

  #drop(head: Buffer): void {
    this.#droppedBytes += head.length;
    this.#saysClose ||= SAYS_CLOSE.test(head.toString('latin1'));
  }
}

/** Returns the number of bytes of empty lines in front, which the client's parser skips. */
function emptyLineBytes(bytes: Buffer): number {
  const end = bytes.findIndex((byte) => byte !== CARRIAGE_RETURN && byte !== LINE_FEED);
  return end === -1 ? bytes.length : end;
}

/** Whether the bytes start an interim answer, as far as there are any. */
function startsInterim(bytes: Buffer): boolean {
  const start = bytes.toString('latin1', 0, STATUS_LINE.length);
  const matches = [...start].every((char, index) => {
    const expected = STATUS_LINE[index] as string;
    return ownEntry(CHARACTER_CLASSES, expected)?.test(char) ?? expected === char;
  });
  return matches && !SWITCHING_PROTOCOLS.test(start);
}

/** Returns the number of bytes to the end of the first head; -1 if it isn't there yet. */
function headEnd(bytes: Buffer): number {
  const ends = HEAD_ENDS.map((end) => ({ at: bytes.indexOf(end, 0, 'latin1'), length: end.length }));
  const [first] = ends.filter(({ at }) => at !== -1).sort((left, right) => left.at - right.at);
  return first === undefined ? -1 : first.at + first.length;
}
