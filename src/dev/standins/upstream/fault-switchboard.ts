/** Faults that a stand-in upstream commits on command. Its health endpoint stays well meanwhile. */
import { z } from 'zod';
import type { RandomSource } from '../../virtual/random-source.js';

export const FAULT_KINDS = [
  /** The connection ends in the middle of the answer. */
  'truncate',
  /** The answer's Content-Length is larger than what is sent. */
  'wrong-length',
  /** A second answer follows on the same connection. */
  'answer-twice',
  /** The request is worked on and never answered. */
  'stall',
  /** The answer is 500. */
  'fail',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

export const faultSchema = z.strictObject({
  kind: z.enum(FAULT_KINDS),
  /** Share of requests that meet it, 0 to 1; 0 takes the fault away. */
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

  /** The fault that the next request meets. */
  draw(): FaultKind | null {
    for (const kind of FAULT_KINDS) {
      const share = this.#shares.get(kind) ?? 0;
      if (share > 0 && this.#random.fraction() < share) {
        return kind;
      }
    }
    return null;
  }
}
