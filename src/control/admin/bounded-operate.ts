/**
 * Limits the concurrency and duration of requests from the operator API to the control core. Announcements of programs have a limit of
 * their own: hundreds arrive per second and wait while nothing can be committed, which would leave no capacity for operators.
 */
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { OperatorRequest, OperatorResponse } from '../types.js';
import { AdminError } from './admin-error.js';

/** Passes a request to the control core. */
export type Operate = (request: OperatorRequest) => Promise<OperatorResponse>;

export interface OperateBounds {
  /** Maximum concurrent requests to the core, for operators and programs separately; further ones are rejected. */
  readonly maximumOperations: number;
  /** Time after which the outcome of a request counts as unknown. */
  readonly operationTimeoutMillis: number;
}

const UNKNOWN: OperatorResponse = { type: 'unknown' };

/** Returns whether the request only reads, so that it can't have changed anything. */
function isRead(request: OperatorRequest): boolean {
  return request.type.startsWith('get-');
}

/** Groups of clients with a concurrency limit each. */
const SENDERS = { operators: 'operators', programs: 'programs' } as const;
type Sender = (typeof SENDERS)[keyof typeof SENDERS];

const PROGRAM_REQUESTS = new Set<OperatorRequest['type']>(['announce', 'withdraw']);

function senderOf({ type }: OperatorRequest): Sender {
  return PROGRAM_REQUESTS.has(type) ? SENDERS.programs : SENDERS.operators;
}

/** Wraps `operate` with limits. A write that failed or timed out returns `unknown`, since it may have been applied. */
export function boundOperate(operate: Operate, bounds: OperateBounds, logger: Logger): Operate {
  const inFlight: Record<Sender, number> = { operators: 0, programs: 0 };

  const runBounded = async (request: OperatorRequest): Promise<OperatorResponse> => {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<OperatorResponse>((resolve) => {
      timer = setTimeout(() => resolve(UNKNOWN), bounds.operationTimeoutMillis);
    });
    try {
      return await Promise.race([operate(request), timeout]);
    } finally {
      clearTimeout(timer);
    }
  };

  return async (request) => {
    const sender = senderOf(request);
    if (inFlight[sender] >= bounds.maximumOperations) {
      throw new AdminError('overloaded', 'too many requests at once; nothing was changed');
    }
    inFlight[sender] += 1;
    try {
      return await runBounded(request);
    } catch (thrown) {
      const error = toError(thrown);
      logger.error('operation-failed', { operation: request.type, error });
      if (isRead(request)) {
        throw new AdminError('internal', 'the read failed', {}, { cause: error });
      }
      return UNKNOWN;
    } finally {
      inFlight[sender] -= 1;
    }
  };
}
