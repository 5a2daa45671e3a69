/** Sabotages of routers, applied where the simulated I/O layer exchanges inputs and effects with the core. */
import type { RouterToControl } from '../../../control/messages.js';
import type { UpstreamNotice } from '../../../model/upstream-notice.js';
import type { AttemptResult, RouterEffect } from '../../../routing/types.js';
import type { SabotageName } from '../sabotages.js';

type Active = SabotageName | null;

/** Maximum back-off that reaches routers under the sabotage `rests-cut`. */
const MAX_SABOTAGED_BACKOFF_MILLIS = 300;
type Refuse = Extract<RouterEffect, { readonly type: 'refuse' }>;

export function sabotageResult(result: AttemptResult, sabotage: Active): AttemptResult {
  const isInDoubt = result.type === 'broken' || result.type === 'cancelled';
  return sabotage === 'retry-after-send' && isInDoubt ? { type: 'connect-failed' } : result;
}

export function sabotageRefusal(refusal: Refuse, sabotage: Active): Refuse {
  const isInDoubt = refusal.outcome === 'unknown';
  return sabotage === 'unknown-told-as-not-run' && isInDoubt ? { ...refusal, outcome: 'not-run' } : refusal;
}

export function sabotageNotice(notice: UpstreamNotice, sabotage: Active): UpstreamNotice {
  if (sabotage === 'rests-cut' && notice.restMillis !== null) {
    return { ...notice, restMillis: Math.min(MAX_SABOTAGED_BACKOFF_MILLIS, notice.restMillis) };
  }
  if (sabotage === 'leaving-unread') {
    return { ...notice, isLeaving: false };
  }
  return sabotage === 'limits-unread' ? { ...notice, limit: { type: 'none' } } : notice;
}

/** Returns `null` if the message is lost. */
export function sabotageToControl(message: RouterToControl, sabotage: Active): RouterToControl | null {
  if (sabotage === 'crashes-forgotten' && message.type === 'crash-report') {
    return null;
  }
  const isInDoubt = message.type === 'settle-request' && message.outcome === 'unknown';
  return sabotage === 'claim-released-in-doubt' && isInDoubt ? { ...message, outcome: 'not-run' } : message;
}
