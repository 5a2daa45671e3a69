/**
 * Inputs that wait for a control core. Raft, the disk, operators and the core's own deadlines go before routine inputs, whose number
 * grows with routers and upstreams: else whoever asks often would decide how long an operator's change waits.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { ControlInput, OperatorRequest } from '../types.js';

/** Age from which a heartbeat or a load report is dropped: its sender has given it up, or has sent a newer one. */
export const MAX_ROUTINE_AGE_MILLIS = 1000;

/** Requests of upstreams, which are repeated all the time. */
const PROGRAM_REQUESTS: ReadonlySet<OperatorRequest['type']> = new Set(['announce', 'withdraw']);

/** Whether inputs of a type are urgent; those of operators depend on their request. */
const IS_URGENT: Readonly<Record<Exclude<ControlInput['type'], 'operator-request'>, boolean>> = {
  tick: true,
  'peer-message': true,
  'join-request': true,
  persisted: true,
  'router-message': false,
  'router-gone': false,
  'upstream-answer': false,
  'upstream-failed': false,
  'holder-answer': false,
  'identity-answer': false,
};

export function isUrgent(input: ControlInput): boolean {
  return input.type === 'operator-request'
    ? !PROGRAM_REQUESTS.has(input.request.type)
    : IS_URGENT[input.type];
}

/** Whether an input is of no use any more once it has waited for long. */
function canExpire(input: ControlInput): boolean {
  switch (input.type) {
    case 'operator-request':
      return input.request.type === 'announce';
    case 'router-message':
      return input.message.type === 'load-report';
    default:
      return false;
  }
}

/** A routine input, and how long it has waited. */
export interface TakenInput {
  readonly input: ControlInput;
  readonly waitedMillis: number;
  /** Whether it is too old to be handled. */
  readonly hasExpired: boolean;
}

interface WaitingInput {
  readonly input: ControlInput;
  readonly since: MonotonicMillis;
}

/** Each kind of input keeps its order, so that what a connection sent is handled before its end. */
export class InputQueue {
  #urgent: ControlInput[] = [];
  #routine: WaitingInput[] = [];
  /** Position of the first routine input that still waits. */
  #first = 0;

  add(input: ControlInput, now: MonotonicMillis): void {
    if (isUrgent(input)) {
      this.#urgent.push(input);
    } else {
      this.#routine.push({ input, since: now });
    }
  }

  takeUrgent(): ControlInput | undefined {
    return this.#urgent.shift();
  }

  takeRoutine(now: MonotonicMillis): TakenInput | undefined {
    const waiting = this.#routine[this.#first];
    if (waiting === undefined) {
      return undefined;
    }
    this.#first += 1;
    if (this.#first === this.#routine.length) {
      this.#routine = [];
      this.#first = 0;
    }
    const waitedMillis = now - waiting.since;
    const hasExpired = waitedMillis > MAX_ROUTINE_AGE_MILLIS && canExpire(waiting.input);
    return { input: waiting.input, waitedMillis, hasExpired };
  }

  get hasRoutine(): boolean {
    return this.#first < this.#routine.length;
  }
}
