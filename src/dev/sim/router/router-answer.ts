/** Messages between callers and simulated routers. */
import type { StoredAnswer } from '../../../ledger/types.js';
import type { SendId } from '../../checker/history.js';

/** A router's answer to a caller. */
export type RouterAnswer =
  | { readonly type: 'answer'; readonly ranFor: SendId; readonly content: string; readonly whole: boolean }
  | { readonly type: 'refusal'; readonly outcome: 'not-run' | 'unknown' | 'ran'; readonly reason: string };

/** A caller's request that awaits its answer. */
export interface Exchange {
  readonly send: SendId;
  readonly content: string;
  readonly answer: (answer: RouterAnswer) => void;
}

/** Converts an answer stored in the ledger, which names the send that ran; without a stored body, it only reports that the request ran. */
export function storedAnswer(stored: StoredAnswer): RouterAnswer {
  if (stored.truncated) {
    return { type: 'refusal', outcome: 'ran', reason: 'answer-not-kept' };
  }
  const { ranFor, content } = JSON.parse(Buffer.from(stored.body, 'base64').toString()) as {
    readonly ranFor: SendId;
    readonly content: string;
  };
  return { type: 'answer', ranFor, content, whole: true };
}
