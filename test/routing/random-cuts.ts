/** Random cuts between routers and upstreams, drawn from a seed. */
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { CutFleet, CutFleetOptions } from './cut-fleet.js';
import type { Cut, CutMode } from './cut-network.js';

const MODES: readonly CutMode[] = ['silent', 'reset', 'refused', 'living', 'answers-lost'];
const FIRST_MILLIS = 3000;
const LAST_MILLIS = 12_000;
const MAX_CUT_MILLIS = 4000;

type Drawn = Pick<CutFleetOptions, 'cuts' | 'events' | 'lossShare'>;

export function randomCuts(seed: number): Drawn {
  const random = new RandomSource(seed * 7919);
  const cuts = Array.from({ length: 2 + random.below(4) }, () => randomCut(random));
  const restarts = Array.from({ length: random.below(3) }, () => {
    const index = random.below(11);
    return {
      at: FIRST_MILLIS + random.fraction() * (LAST_MILLIS - FIRST_MILLIS),
      run: (fleet: CutFleet) => fleet.restart((fleet.routers[index] as { readonly name: string }).name),
    };
  });
  return { cuts, events: restarts, lossShare: random.fraction() < 0.3 ? 0.01 : 0 };
}

function randomCut(random: RandomSource): Cut {
  const from = FIRST_MILLIS + random.fraction() * (LAST_MILLIS - FIRST_MILLIS);
  const to = from + 300 + random.fraction() * MAX_CUT_MILLIS;
  const routerShare = random.fraction();
  const upstreamShare = random.fraction() < 0.5 ? 1 : random.fraction();
  const salt = random.below(1_000_000);
  const mode = random.pick(MODES);
  const concerns = (router: string, upstream: string): boolean =>
    shareOf(`${router} ${salt}`) < routerShare && shareOf(`${upstream} ${salt}`) < upstreamShare;
  return { mode, from, to, concerns };
}

/** A number from 0 to 1 that is the same each time for one text. */
export function shareOf(text: string): number {
  let hash = 7;
  for (const letter of text) {
    hash = (Math.imul(hash, 31) + letter.charCodeAt(0)) >>> 0;
  }
  return (Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0) / 2 ** 32;
}
