/** Pending requests of operators: each gets exactly one response. */
import type { OperationId, OperatorRequest, OperatorResponse } from '../types.js';

interface PendingOperation {
  readonly resolve: (response: OperatorResponse) => void;
  readonly timer: NodeJS.Timeout;
}

export class Operations {
  private readonly pending = new Map<OperationId, PendingOperation>();
  private count = 0;
  private isOver = false;

  constructor(
    private readonly timeoutMillis: number,
    private readonly submit: (operation: OperationId, request: OperatorRequest) => void,
  ) {}

  /** Passes the request to the core and returns its response, or `unknown` after the timeout. Does nothing once all were abandoned. */
  run(request: OperatorRequest): Promise<OperatorResponse> {
    if (this.isOver) {
      return Promise.resolve({ type: 'not-leader', leader: null });
    }
    this.count += 1;
    const operation = `operation-${this.count}`;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.answer(operation, { type: 'unknown' }), this.timeoutMillis);
      this.pending.set(operation, { resolve, timer });
      this.submit(operation, request);
    });
  }

  /** Completes a request; late and duplicate responses are dropped. */
  answer(operation: OperationId, response: OperatorResponse): void {
    const pending = this.pending.get(operation);
    if (pending !== undefined) {
      this.pending.delete(operation);
      clearTimeout(pending.timer);
      pending.resolve(response);
    }
  }

  get size(): number {
    return this.pending.size;
  }

  /** Completes all pending requests with `unknown`; later ones aren't carried out. */
  abandon(): void {
    this.isOver = true;
    for (const operation of [...this.pending.keys()]) {
      this.answer(operation, { type: 'unknown' });
    }
  }
}
