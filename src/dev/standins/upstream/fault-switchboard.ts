/** Faults that a stand-in upstream injects on command. Its health endpoint reports healthy unless it is the fault itself. */
import { z } from 'zod';
import type { RandomSource } from '../../virtual/random-source.js';

export const ANSWER_FAULT_KINDS = [
  /** The connection ends in the middle of the answer. */
  'truncate',
  /** The answer's Content-Length exceeds the body that is sent. */
  'wrong-length',
  /** A second answer follows on the same connection. */
  'answer-twice',
  /** The request is processed and never answered. */
  'stall',
  /** The request is processed and answered long after any deadline. */
  'late',
  /** The answer and the id are those of the preceding request. */
  'foreign',
  /** The answer has status 500. */
  'fail',
] as const;
export type AnswerFaultKind = (typeof ANSWER_FAULT_KINDS)[number];

/** Faults on the connections of stand-ins that announce themselves. */
export const CONNECTION_FAULT_KINDS = [
  /** Each answer is sent again: some time later, or in the place of the next answer of its connection. */
  'repeat',
  /** Answers end in the middle, with or without a reset, or before they began. */
  'break-off',
  /** A request that ran is answered with a status of overload, without the mark that it didn't run. */
  'unmarked',
  /** Requests are refused before their body has come. */
  'early',
] as const;
export type ConnectionFaultKind = (typeof CONNECTION_FAULT_KINDS)[number];

export const HINT_FAULT_KINDS = [
  /** The health endpoint reports unhealthy, while requests are served normally. */
  'health-ill',
  /** The reported load doesn't change. */
  'load-frozen',
  /** The reported load alternates between zero and an impossibly high value. */
  'load-wild',
] as const;
export type HintFaultKind = (typeof HINT_FAULT_KINDS)[number];

export const NEED_KINDS = [
  /** Each answer states a limit: the requests per second that the upstream accepts from all routers together. */
  'names-limit',
  /** Each request is rejected with a back-off for the router. */
  'asks-rest',
  /** Each answer states that the upstream is draining. */
  'says-leaving',
] as const;
export type NeedKind = (typeof NEED_KINDS)[number];

export const FAULT_KINDS = [
  ...ANSWER_FAULT_KINDS,
  ...CONNECTION_FAULT_KINDS,
  ...HINT_FAULT_KINDS,
  ...NEED_KINDS,
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

export const faultSchema = z.strictObject({
  kind: z.enum(FAULT_KINDS),
  /** Share of affected requests, 0 to 1; 0 removes the fault. */
  share: z.number().min(0).max(1),
});
export type Fault = z.infer<typeof faultSchema>;

export class FaultSwitchboard {
  readonly #random: RandomSource;
  readonly #shares = new Map<FaultKind, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  set(fault: Fault): void {
    this.#shares.set(fault.kind, fault.share);
  }

  /** Whether the hint is currently falsified. */
  falsifies(kind: HintFaultKind): boolean {
    return (this.#shares.get(kind) ?? 0) > 0;
  }

  /** Whether the upstream currently sends this notice. */
  needs(kind: NeedKind): boolean {
    return (this.#shares.get(kind) ?? 0) > 0;
  }

  /** Draws whether a fault of connections affects the next answer. */
  affects(kind: ConnectionFaultKind): boolean {
    const share = this.#shares.get(kind) ?? 0;
    return share > 0 && this.#random.fraction() < share;
  }

  /** Draws the fault that affects the next request. */
  draw(): AnswerFaultKind | null {
    for (const kind of ANSWER_FAULT_KINDS) {
      const share = this.#shares.get(kind) ?? 0;
      if (share > 0 && this.#random.fraction() < share) {
        return kind;
      }
    }
    return null;
  }
}
