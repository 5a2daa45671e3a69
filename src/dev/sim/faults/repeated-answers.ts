/**
 * Upstreams that are short of room and send each refusal a second time. Not among `FAULT_KINDS`, so that the runs of existing seeds stay the
 * same; only of interest where upstreams give back the caller's id.
 */
import { QUEUE_LIMIT, type SimUpstream } from '../upstream/sim-upstream.js';
import type { FaultKind } from './fault.js';

/** Requests in flight of an upstream that is short of room. */
const SHORT_QUEUE_LIMIT = 1;
/** Time after which a refusal is sent again: about when its request is tried again. */
const REPEATED_MILLIS = [1, 60] as const;

function setShort(upstream: SimUpstream, isShort: boolean): void {
  upstream.queueLimit = isShort ? SHORT_QUEUE_LIMIT : QUEUE_LIMIT;
  upstream.repeatedMillis = isShort ? REPEATED_MILLIS : null;
}

export const REPEATED_ANSWERS: readonly FaultKind[] = [
  {
    name: 'repeated-refusals',
    durationRange: [2000, 6000],
    inject(simulation) {
      for (const upstream of simulation.upstreams) {
        setShort(upstream, true);
      }
      return {
        detail: 'all upstreams',
        heal: () => {
          for (const upstream of simulation.upstreams) {
            setShort(upstream, false);
          }
        },
      };
    },
  },
];
