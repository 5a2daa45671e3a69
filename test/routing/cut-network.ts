/** The network between modelled routers and upstreams: delays, and cuts of single routers from upstreams in each of the ways in which networks fail. */
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';
import type { RandomSource } from '../../src/dev/virtual/random-source.js';

/**
 * `silent`: packets are lost. `reset`: open connections are reset, packets of new ones are lost. `refused`: open connections are reset, new
 * ones refused. `living`: open connections go on, new ones are refused. `answers-lost`: requests arrive, nothing comes back.
 */
export type CutMode = 'silent' | 'reset' | 'refused' | 'living' | 'answers-lost';

export interface Cut {
  readonly mode: CutMode;
  readonly from: number;
  readonly to: number;
  /** Whether a router has lost its path to an upstream. */
  readonly concerns: (router: string, upstream: string) => boolean;
}

const SAME_ZONE_MILLIS = 0.3;
const OTHER_ZONE_MILLIS = 0.8;
const JITTER_SHARE = 0.2;
/** TCP sends a lost segment again after this time, then after twice as long. */
const RETRANSMIT_MILLIS = 250;
const CONNECT_RETRANSMIT_MILLIS = 1000;

export interface End {
  readonly name: string;
  readonly zone: string;
}

/** `lost`: a packet of the opening exchange was lost; TCP sends it again after a second. */
export type Opening = 'open' | 'refused' | 'lost';

export class CutNetwork {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #cuts: readonly Cut[];
  /** Share of packets lost on all paths. */
  readonly #lossShare: number;

  constructor(queue: EventQueue, random: RandomSource, cuts: readonly Cut[], lossShare = 0) {
    this.#queue = queue;
    this.#random = random;
    this.#cuts = cuts;
    this.#lossShare = lossShare;
  }

  delay(from: End, to: End): number {
    const millis = from.zone === to.zone ? SAME_ZONE_MILLIS : OTHER_ZONE_MILLIS;
    return millis * (1 + JITTER_SHARE * (2 * this.#random.fraction() - 1));
  }

  cutBetween(router: End, upstream: End): Cut | undefined {
    const { now } = this.#queue;
    return this.#cuts.find(
      ({ from, to, concerns }) => now >= from && now < to && concerns(router.name, upstream.name),
    );
  }

  /** Calls back with the result of an opening exchange; not at all if its packets are lost for good. */
  open(router: End, upstream: End, done: (opening: Opening) => void): void {
    const roundTrip = this.delay(router, upstream) + this.delay(upstream, router);
    const cut = this.cutBetween(router, upstream);
    if (cut === undefined) {
      this.#queue.after(roundTrip + this.#lossMillis(CONNECT_RETRANSMIT_MILLIS), () => done('open'));
    } else if (cut.mode === 'refused' || cut.mode === 'living') {
      this.#queue.after(roundTrip, () => done('refused'));
    } else {
      done('lost');
    }
  }

  /** Carries bytes of an open connection to the upstream, or back; held up by a cut, they arrive after it. */
  carry(from: End, to: End, isAnswer: boolean, deliver: () => void): void {
    const [router, upstream] = isAnswer ? [to, from] : [from, to];
    const cut = this.cutBetween(router, upstream);
    const isHeldUp = cut !== undefined && cut.mode !== 'living' && (isAnswer || cut.mode !== 'answers-lost');
    if (isHeldUp) {
      const wait = cut.to - this.#queue.now + RETRANSMIT_MILLIS * this.#random.fraction();
      this.#queue.after(wait, () => this.carry(from, to, isAnswer, deliver));
      return;
    }
    this.#queue.after(this.delay(from, to) + this.#lossMillis(RETRANSMIT_MILLIS), deliver);
  }

  /** Extra time where packets are lost: each loss doubles the wait for the next try. */
  #lossMillis(firstMillis: number): number {
    let extra = 0;
    for (
      let wait = firstMillis;
      this.#lossShare > 0 && this.#random.fraction() < this.#lossShare;
      wait *= 2
    ) {
      extra += wait;
    }
    return extra;
  }
}
