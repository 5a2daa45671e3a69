/**
 * The requests of one connection in their order: which of them is handed on when, which are lost once an answer closes the
 * connection, and whether the socket is read. Without socket or clock.
 */

export interface PipelinedRequest {
  /** Whether its method is safe (RFC 9110, 9.2.1), so that it may run beside others of its connection. */
  readonly isSafe: boolean;
  /** Whether its body has come whole. */
  readonly isWhole: boolean;
  /** Bytes held for it as long as it stands in its connection, once it is whole. */
  readonly bodyBytes: number;
}

export interface PipelineLimits {
  /** Requests of a connection that are handed on and not answered whole. */
  readonly requestsPerConnection: number;
  readonly heldBytesPerConnection: number;
}

/** `look`: read from time to time, since only that tells whether the caller has left. */
export type SocketReading = 'on' | 'look' | 'off';

/** What a request costs that was read and waits: its objects and header, about. */
const WAITING_REQUEST_BYTES = 4096;

/** Part of a connection's bytes that answers behind the one in front may be expected to take; the rest is for that one. */
const BEHIND_FRONT_SHARE = 0.25;

export class PipelineOrder<Request extends PipelinedRequest> {
  readonly #limits: PipelineLimits;
  readonly #requests: Request[] = [];
  /** How many of them are handed on: always the first ones. */
  #handedOn = 0;
  /** Bodies and answers. */
  #heldBytes = 0;
  /** Bytes that an answer of this connection may have, by those that it had. */
  #answerBytes = 0;
  #ignored = 0;
  #closing = false;

  constructor(limits: PipelineLimits) {
    this.#limits = limits;
  }

  /** Whether an answer that closes the connection is decided: nothing more is taken in. */
  get isClosing(): boolean {
    return this.#closing;
  }

  /** Requests that were read and aren't answered whole. */
  get size(): number {
    return this.#requests.length;
  }

  get front(): Request | undefined {
    return this.#requests[0];
  }

  get last(): Request | undefined {
    return this.#requests[this.#requests.length - 1];
  }

  get lastHandedOn(): Request | undefined {
    return this.#requests[this.#handedOn - 1];
  }

  add(request: Request): void {
    this.#requests.push(request);
  }

  /** The body of a request that was added has come. */
  complete(request: Request): void {
    this.#heldBytes += request.bodyBytes;
  }

  /** Bytes of bodies and answers that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** So many more bytes of answers are held, or fewer. */
  hold(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** An answer has so many bytes. One that is large counts for some answers more. */
  expect(answerBytes: number): void {
    this.#answerBytes = Math.max(answerBytes, this.#answerBytes / 2);
  }

  /** A request came behind an answer that closes the connection. */
  ignore(): void {
    this.#ignored += 1;
  }

  /** Marks the next request as handed on, if it may be. */
  handOnNext(): Request | undefined {
    const next = this.#requests[this.#handedOn];
    if (next === undefined || !next.isWhole || !this.#mayHandOn(next)) {
      return undefined;
    }
    this.#handedOn += 1;
    return next;
  }

  remove(request: Request): void {
    const place = this.#requests[0] === request ? 0 : this.#requests.indexOf(request);
    if (place === -1) {
      return;
    }
    this.#drop(place, 1);
  }

  /** Nothing more is taken in; what waits is still handed on. */
  close(): void {
    this.#closing = true;
  }

  /** The answer of a request closes the connection. Gives the requests behind it, which are lost. */
  closeAfter(request: Request): Request[] {
    this.#closing = true;
    const place = this.#requests.indexOf(request);
    return place === -1 ? [] : this.#drop(place + 1, this.#requests.length);
  }

  get reading(): SocketReading {
    const waiting = this.#requests.length - this.#handedOn + this.#ignored;
    const heldBytes = this.#heldBytes + waiting * WAITING_REQUEST_BYTES;
    if (this.#requests.length > 0 && heldBytes >= this.#limits.heldBytesPerConnection) {
      return 'off';
    }
    return this.#ignored > 0 || this.#requests.length >= this.#limits.requestsPerConnection ? 'look' : 'on';
  }

  #mayHandOn(next: Request): boolean {
    if (this.#handedOn === 0) {
      return true;
    }
    return next.isSafe && !this.#isFull() && this.#requests[0]?.isSafe === true;
  }

  /** Answers that its caller can't take at once would hold up their upstreams, so no more run than would find room. */
  #isFull(): boolean {
    const { requestsPerConnection, heldBytesPerConnection } = this.#limits;
    const bytesBehindFront = this.#handedOn * this.#answerBytes;
    return (
      this.#handedOn >= requestsPerConnection ||
      bytesBehindFront > heldBytesPerConnection * BEHIND_FRONT_SHARE
    );
  }

  #drop(place: number, count: number): Request[] {
    const dropped = this.#requests.splice(place, count);
    this.#handedOn -= Math.max(0, Math.min(this.#handedOn - place, dropped.length));
    for (const { isWhole, bodyBytes } of dropped) {
      this.#heldBytes -= isWhole ? bodyBytes : 0;
    }
    return dropped;
  }
}
