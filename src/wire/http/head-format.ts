/**
 * Checks the head of an answer, byte by byte as it comes: its status has three digits within the range of HTTP (RFC 9110, 15), and each line behind
 * the first begins with a name and a colon (RFC 9112, 5). The HTTP client's parser takes blanks within names, and joins a line that begins with one to
 * the field in front of it, so that a caller would get a field that the upstream didn't send. Heads of interim answers are followed by another head;
 * switching protocols (101), for which nobody asks, is malformed.
 */

const TAB = 0x09;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const COLON = 0x3a;

/** Place of the status behind `HTTP/1.1 `. */
const STATUS_START = 9;
const STATUS_END = STATUS_START + 3;
const INTERIM_DIGIT = '1';
const SWITCHING_PROTOCOLS = '101';
/** Bytes that may stand at each place of a status. */
const STATUS_DIGITS = ['12345', '0123456789', '0123456789'].map((digits) => tableOf(digits));
const STATUS_ENDS: ReadonlySet<number> = new Set([SPACE, TAB, CARRIAGE_RETURN, LINE_FEED]);
/** Bytes of a name (RFC 9110, 5.6.2). */
const NAME_BYTES = tableOf("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz");

const PLACES = {
  /** No head is expected, or it is over. */
  outside: 0,
  statusLine: 1,
  lineStart: 2,
  /** Behind the carriage return of an empty line, which ends the head. */
  emptyLine: 3,
  name: 4,
  value: 5,
  malformed: 6,
} as const;
type Place = (typeof PLACES)[keyof typeof PLACES];

export class HeadFormat {
  #place: Place = PLACES.outside;
  /** Number of bytes of the status line that were read. */
  #statusLineBytes = 0;
  /** Digits of the status that were read. */
  #status = '';

  /** The next bytes are those of a head. */
  expectHead(): void {
    this.#place = PLACES.statusLine;
    this.#statusLineBytes = 0;
    this.#status = '';
  }

  /** Reads the next bytes of the connection; returns whether the head is well-formed so far. */
  read(bytes: Uint8Array): boolean {
    let at = 0;
    while (at < bytes.length && this.#place !== PLACES.outside && this.#place !== PLACES.malformed) {
      if (this.#place === PLACES.value) {
        const end = bytes.indexOf(LINE_FEED, at);
        at = end === -1 ? bytes.length : end;
      }
      if (at < bytes.length) {
        this.#place = this.#next(bytes[at] as number);
        at += 1;
        if (this.#place === PLACES.outside && this.#status.startsWith(INTERIM_DIGIT)) {
          this.expectHead();
        }
      }
    }
    return this.#place !== PLACES.malformed;
  }

  #next(byte: number): Place {
    switch (this.#place) {
      case PLACES.statusLine:
        return this.#inStatusLine(byte);
      case PLACES.lineStart:
        return atLineStart(byte);
      case PLACES.emptyLine:
        return byte === LINE_FEED ? PLACES.outside : PLACES.malformed;
      case PLACES.name:
        return inName(byte);
      default:
        return byte === LINE_FEED ? PLACES.lineStart : PLACES.value;
    }
  }

  /** Empty lines may stand in front of the status line. */
  #inStatusLine(byte: number): Place {
    const at = this.#statusLineBytes;
    if (at === 0 && (byte === CARRIAGE_RETURN || byte === LINE_FEED)) {
      return PLACES.statusLine;
    }
    this.#statusLineBytes += 1;
    if (at < STATUS_START) {
      return PLACES.statusLine;
    }
    if (at < STATUS_END) {
      this.#status += String.fromCharCode(byte);
      return STATUS_DIGITS[at - STATUS_START]?.[byte] === 1 ? PLACES.statusLine : PLACES.malformed;
    }
    if (!STATUS_ENDS.has(byte) || this.#status === SWITCHING_PROTOCOLS) {
      return PLACES.malformed;
    }
    // What stands behind the status is read like a value.
    return byte === LINE_FEED ? PLACES.lineStart : PLACES.value;
  }
}

function atLineStart(byte: number): Place {
  if (byte === CARRIAGE_RETURN) {
    return PLACES.emptyLine;
  }
  if (byte === LINE_FEED) {
    return PLACES.outside;
  }
  return NAME_BYTES[byte] === 1 ? PLACES.name : PLACES.malformed;
}

function inName(byte: number): Place {
  if (byte === COLON) {
    return PLACES.value;
  }
  return NAME_BYTES[byte] === 1 ? PLACES.name : PLACES.malformed;
}

/** Returns a table in which the bytes of `text` are 1. */
function tableOf(text: string): Uint8Array {
  const table = new Uint8Array(256);
  for (const byte of Buffer.from(text, 'latin1')) {
    table[byte] = 1;
  }
  return table;
}
