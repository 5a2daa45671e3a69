/**
 * Checks the head of an answer, byte by byte as it comes: each line behind the first begins with a name and a colon (RFC 9112, 5). The HTTP client's parser takes blanks within names, and joins a line that begins with one to
 * the field in front of it, so that a caller would get a field that the upstream didn't send.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Bytes of a name (RFC 9110, 5.6.2). */
const NAME_BYTES = tableOf("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz");

const PLACES = {
  /** No head is expected, or it is over. */
  outside: 0,
  lineStart: 1,
  /** Behind the carriage return of an empty line, which ends the head. */
  emptyLine: 2,
  name: 3,
  value: 4,
  malformed: 5,
} as const;
type Place = (typeof PLACES)[keyof typeof PLACES];

export class HeadFormat {
  #place: Place = PLACES.outside;

  /** The next bytes are those of a head. */
  expectHead(): void {
    // The status line is read like a value.
    this.#place = PLACES.value;
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
      }
    }
    return this.#place !== PLACES.malformed;
  }

  #next(byte: number): Place {
    switch (this.#place) {
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
