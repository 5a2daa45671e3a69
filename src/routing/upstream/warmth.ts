/** Whether one upstream is cold, and the turns that routers take at it meanwhile. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { RoundPlace, RouterTurn } from '../../model/router-turn.js';
import type { WarmupTerms } from '../../model/service.js';
import type { WarmupBounds } from '../../model/warmup-bounds.js';
import { turnsPerSecond, WarmupTurns } from '../room/warmup-turns.js';

export class Warmth {
  #terms: WarmupTerms | null = null;
  /** It is cold until then, as it said itself or as must be feared. */
  #coldUntil = Number.NEGATIVE_INFINITY;
  /** It could not be reached, so it may be another process that answers next. */
  #mayHaveRestarted = false;
  #turns: WarmupTurns | null = null;

  constructor(private readonly upstream: UpstreamId) {}

  /** What its service says upstreams bear while they are cold; `null`: nothing. */
  useTerms(terms: WarmupTerms | null): void {
    this.#terms = terms;
  }

  /** Whether it is cold, as it said itself or as must be feared. */
  isCold(now: number): boolean {
    return this.#terms !== null && now < this.#coldUntil;
  }

  /** Whether routers take turns there with what any upstream could serve: it is cold, or may be. */
  takesTurns(now: number): boolean {
    return this.#terms !== null && (this.#mayHaveRestarted || now < this.#coldUntil);
  }

  /** Whether this router's turn has come at an upstream that takes turns. */
  isTurn({ inZone }: RouterTurn, bounds: WarmupBounds, now: number): boolean {
    const terms = this.#terms;
    return terms !== null && this.#turnsFrom(now).isDue(inZone, turnsPerSecond(terms, bounds), now);
  }

  /** Whether this router may send a cold owner one more request for its keys. */
  isOwnerTurn({ inAll }: RouterTurn, bounds: WarmupBounds, now: number): boolean {
    const terms = this.#terms;
    return terms === null || this.#turnsFrom(now).isLeft(inAll, turnsPerSecond(terms, bounds), now);
  }

  /** A request goes there. `place`: the one by which its turn had come. */
  useTurn(place: RoundPlace, bounds: WarmupBounds, now: number): void {
    if (this.#terms !== null) {
      this.#turnsFrom(now).use(place, turnsPerSecond(this.#terms, bounds), now);
    }
  }

  /** It said that it stays cold for so many milliseconds; 0: it is warm. */
  announced(millis: number, now: number): void {
    if (millis > 0) {
      this.#turnedCold(now, millis);
    } else {
      this.#coldUntil = Number.NEGATIVE_INFINITY;
    }
  }

  /** It had nothing to do for long. */
  idled(now: number): void {
    this.#turnedCold(now, this.#terms?.millis ?? 0);
  }

  /** Control has news of it: which run lives there is known again. */
  heard(): void {
    this.#mayHaveRestarted = false;
  }

  /**
   * Nothing listens there. Until control has heard of it, whoever answers next may be cold: an upstream that comes back is tried by all
   * routers that avoided it, in the same moment.
   */
  notListening(now: number): void {
    if (!this.#mayHaveRestarted) {
      this.#turnedCold(now, 0);
      this.#mayHaveRestarted = true;
    }
  }

  succeeded(now: number): void {
    if (this.#mayHaveRestarted) {
      this.#mayHaveRestarted = false;
      this.#coldUntil = Math.max(this.#coldUntil, now + (this.#terms?.millis ?? 0));
    }
  }

  #turnsFrom(now: number): WarmupTurns {
    this.#turns ??= new WarmupTurns(this.upstream, now);
    return this.#turns;
  }

  #turnedCold(now: number, millis: number): void {
    if (now >= this.#coldUntil && !this.#mayHaveRestarted) {
      this.#turns = new WarmupTurns(this.upstream, now);
    }
    this.#coldUntil = Math.max(this.#coldUntil, now + millis);
  }
}
