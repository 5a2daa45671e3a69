/** What callers and simulated routers say to each other. */
import type { StoredAnswer } from '../../../ledger/types.js';
import type { SendId } from '../../checker/history.js';

/** What a caller may be answered. */
export type RouterAnswer =
  | { readonly type: 'answer'; readonly ranFor: SendId; readonly content: string; readonly whole: boolean }
  | { readonly type: 'refusal'; readonly outcome: 'not-run' | 'unknown' | 'ran'; readonly reason: string };

/** A caller's request that waits for its answer. */
export interface Exchange {
  readonly send: SendId;
  readonly content: string;
  readonly answer: (answer: RouterAnswer) => void;
}

/** What the ledger kept names the sending that ran; a body that wasn't kept only says that it ran. */
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
