/**
 * The pipelined requests of one connection in order. Decides when each is dispatched, which are lost once an answer closes
 * the connection, and whether the socket is read. Uses neither socket nor clock.
 */

export interface PipelinedRequest {
  /** Whether its method is safe (RFC 9110, 9.2.1), so that it may run concurrently with others of its connection. */
  readonly isSafe: boolean;
  /** Whether its body has arrived whole. */
  readonly isWhole: boolean;
  /** Whether others may run behind it: its answer can't break off any more, or isn't expected to be written before it is whole. */
  readonly allowsBehind: boolean;
  /** Bytes buffered for it from the arrival of its body until it is removed. */
  readonly bodyBytes: number;
}

export interface PipelineLimits {
  /** Maximum number of requests of a connection that are dispatched and not answered whole. */
  readonly requestsPerConnection: number;
  readonly heldBytesPerConnection: number;
}

/** With `look`, the socket is read briefly at intervals, since only reading detects that the caller disconnected. */
export type SocketReadMode = 'on' | 'look' | 'off';

/** Approximate memory of a request that was read and waits: its objects and header. */
const WAITING_REQUEST_BYTES = 4096;

/** Share of a connection's bytes that the expected answers behind the front may use; the rest is for the one in front. */
const BEHIND_FRONT_SHARE = 0.25;

export class PipelineOrder<Request extends PipelinedRequest> {
  readonly #limits: PipelineLimits;
  readonly #requests: Request[] = [];
  /** Number of dispatched requests; these are always the first ones. */
  #dispatched = 0;
  /** Bytes of bodies and answers. */
  #heldBytes = 0;
  /** Expected size of an answer, from earlier answers of this connection. */
  #expectedAnswerBytes = 0;
  #ignored = 0;
  #closing = false;

  constructor(limits: PipelineLimits) {
    this.#limits = limits;
  }

  /** Whether an answer will close the connection, so that no more requests are accepted. */
  get isClosing(): boolean {
    return this.#closing;
  }

  /** Number of requests that were read and aren't answered whole. */
  get size(): number {
    return this.#requests.length;
  }

  get front(): Request | undefined {
    return this.#requests[0];
  }

  get last(): Request | undefined {
    return this.#requests[this.#requests.length - 1];
  }

  get lastDispatched(): Request | undefined {
    return this.#requests[this.#dispatched - 1];
  }

  wasDispatched(request: Request): boolean {
    const index = this.#requests.indexOf(request);
    return index !== -1 && index < this.#dispatched;
  }

  add(request: Request): void {
    this.#requests.push(request);
  }

  /** Called when the body of an added request has arrived. */
  complete(request: Request): void {
    this.#heldBytes += request.bodyBytes;
  }

  /** Buffered bytes of bodies and answers. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Adds `bytes` of answers, which may be negative, to the buffered bytes. */
  hold(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** Records the size of an answer. The influence of a large one halves with each later answer. */
  recordAnswerSize(answerBytes: number): void {
    this.#expectedAnswerBytes = Math.max(answerBytes, this.#expectedAnswerBytes / 2);
  }

  /** Records a request that arrived behind an answer that closes the connection. */
  recordIgnored(): void {
    this.#ignored += 1;
  }

  /** Marks the next request as dispatched and returns it, or `undefined` if none may be dispatched now. */
  dispatchNext(): Request | undefined {
    const next = this.#requests[this.#dispatched];
    if (next === undefined || !next.isWhole || !this.#mayDispatch(next)) {
      return undefined;
    }
    this.#dispatched += 1;
    return next;
  }

  remove(request: Request): void {
    const index = this.#requests[0] === request ? 0 : this.#requests.indexOf(request);
    if (index === -1) {
      return;
    }
    this.#removeAt(index, 1);
  }

  /** Accepts no more requests; waiting ones are still dispatched. */
  close(): void {
    this.#closing = true;
  }

  /** Marks the answer of a request as closing the connection. Removes and returns the requests behind it, which are lost. */
  closeAfter(request: Request): Request[] {
    this.#closing = true;
    const index = this.#requests.indexOf(request);
    return index === -1 ? [] : this.#removeAt(index + 1, this.#requests.length);
  }

  get readMode(): SocketReadMode {
    const waiting = this.#requests.length - this.#dispatched + this.#ignored;
    const heldBytes = this.#heldBytes + waiting * WAITING_REQUEST_BYTES;
    if (this.#requests.length > 0 && heldBytes >= this.#limits.heldBytesPerConnection) {
      return 'off';
    }
    return this.#ignored > 0 || this.#requests.length >= this.#limits.requestsPerConnection ? 'look' : 'on';
  }

  #mayDispatch(next: Request): boolean {
    if (this.#dispatched === 0) {
      return true;
    }
    return next.isSafe && !this.#isFull() && this.#dispatchedAllowBehind();
  }

  #dispatchedAllowBehind(): boolean {
    for (let index = 0; index < this.#dispatched; index += 1) {
      const request = this.#requests[index];
      if (request?.isSafe !== true || !request.allowsBehind) {
        return false;
      }
    }
    return true;
  }

  /** Whether the expected answers of more requests would exceed the capacity: unread answers would block their upstreams. */
  #isFull(): boolean {
    const { requestsPerConnection, heldBytesPerConnection } = this.#limits;
    const bytesBehindFront = this.#dispatched * this.#expectedAnswerBytes;
    return (
      this.#dispatched >= requestsPerConnection ||
      bytesBehindFront > heldBytesPerConnection * BEHIND_FRONT_SHARE
    );
  }

  #removeAt(index: number, count: number): Request[] {
    const dropped = this.#requests.splice(index, count);
    this.#dispatched -= Math.max(0, Math.min(this.#dispatched - index, dropped.length));
    for (const { isWhole, bodyBytes } of dropped) {
      this.#heldBytes -= isWhole ? bodyBytes : 0;
    }
    return dropped;
  }
}
