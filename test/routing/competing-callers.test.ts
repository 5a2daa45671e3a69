/** Callers of two ranks who compete for too little room: what each rank gets. */
import { expect } from 'chai';
import {
  type CallerKind,
  inTimeShare,
  type RankLoad,
  type RankLoadResult,
  RankLoadWorld,
} from './rank-load.js';

/** Demand of urgent and other callers, and the share of the urgent that one queue of all slots would serve in time. */
const ROWS = [
  { urgent: 0.6, other: 0, oneQueue: 0.975 },
  { urgent: 0.6, other: 0.3, oneQueue: 0.971 },
  { urgent: 0.6, other: 0.6, oneQueue: 0.97 },
  { urgent: 0.6, other: 1.2, oneQueue: 0.972 },
  { urgent: 0.9, other: 0.9, oneQueue: 0.955 },
] as const;

const MOST_URGENT_LOSS = 0.03;
const MOST_OTHER_LOSS = 0.1;

function kindsOf({ urgent, other }: { readonly urgent: number; readonly other: number }): CallerKind[] {
  return [
    { name: 'urgent', rank: 0, targetMillis: 800, deadlineMillis: 5500, demand: urgent, returns: 2 },
    { name: 'other', rank: 2, targetMillis: 2500, deadlineMillis: 8700, demand: other, returns: 2 },
  ];
}

function play(changes: Partial<RankLoad> & { readonly kinds: readonly CallerKind[] }): RankLoadResult {
  const load: RankLoad = { seed: 1, routers: 15, upstreams: 6, slots: 3, workMillis: 220, ...changes };
  return new RankLoadWorld(load).run();
}

describe('callers of two ranks who compete for too little room', function () {
  this.timeout(60_000);
  for (const row of ROWS) {
    it(`serves the urgent about as one queue would: demand ${row.urgent}, others ${row.other}`, () => {
      const { urgent } = play({ kinds: kindsOf(row) }).kinds;
      expect(inTimeShare(urgent as never)).to.be.at.least(row.oneQueue - MOST_URGENT_LOSS);
    });
  }
  for (const row of ROWS.filter(({ other }) => other > 0)) {
    it(`leaves the others nearly what is left: demand ${row.other}, urgent ${row.urgent}`, () => {
      const { other } = play({ kinds: kindsOf(row) }).kinds;
      const left = Math.min(1, (1 - row.urgent) / row.other);
      expect(inTimeShare(other as never)).to.be.at.least(left - MOST_OTHER_LOSS);
    });
  }
});
