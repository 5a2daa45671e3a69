/** Whether one upstream is cold, and this router's time slots at it during that time. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { RoundPosition, RouterTimeSlots } from '../../model/router-time-slots.js';
import type { WarmupLimit } from '../../model/service.js';
import type { WarmupBounds } from '../../model/warmup-bounds.js';
import { timeSlotsPerSecond, WarmupTimeSlots } from '../capacity/warmup-time-slots.js';

export class WarmupState {
  #terms: WarmupLimit | null = null;
  /** End of the warm-up that the upstream announced or that the router assumes. */
  #coldUntil = Number.NEGATIVE_INFINITY;
  /** The upstream was unreachable, so the next answer may come from a new process. */
  #mayHaveRestarted = false;
  #timeSlots: WarmupTimeSlots | null = null;

  constructor(private readonly upstream: UpstreamId) {}

  /** Sets the service's limits for cold upstreams; `null` if it declares none. */
  setTerms(terms: WarmupLimit | null): void {
    this.#terms = terms;
  }

  /** Whether the upstream is cold, as announced or assumed. */
  isCold(now: number): boolean {
    return this.#terms !== null && now < this.#coldUntil;
  }

  /** Whether routers use time slots there for requests that any upstream can serve: the upstream is cold, or may be. */
  usesTimeSlots(now: number): boolean {
    return this.#terms !== null && (this.#mayHaveRestarted || now < this.#coldUntil);
  }

  /** Whether this router has a time slot now at an upstream that is or may be cold. */
  hasTimeSlot({ inZone }: RouterTimeSlots, bounds: WarmupBounds, now: number): boolean {
    const terms = this.#terms;
    return terms !== null && this.#timeSlotsFrom(now).isDue(inZone, timeSlotsPerSecond(terms, bounds), now);
  }

  /** Whether this router may send one more request for its keys to a cold owner. */
  hasOwnerTimeSlot({ inAll }: RouterTimeSlots, bounds: WarmupBounds, now: number): boolean {
    const terms = this.#terms;
    return terms === null || this.#timeSlotsFrom(now).isUnused(inAll, timeSlotsPerSecond(terms, bounds), now);
  }

  /** Records a sent request. `place`: the router's place from which the time slot was derived. */
  useTimeSlot(place: RoundPosition, bounds: WarmupBounds, now: number): void {
    if (this.#terms !== null) {
      this.#timeSlotsFrom(now).use(place, timeSlotsPerSecond(this.#terms, bounds), now);
    }
  }

  /** Records the upstream's announcement that it stays cold for `millis`; 0 if it is warm. */
  announced(millis: number, now: number): void {
    if (millis > 0) {
      this.#becomeCold(now, millis);
    } else {
      this.#coldUntil = Number.NEGATIVE_INFINITY;
    }
  }

  /** Records that the upstream was idle for long and may have cooled down. */
  markIdle(now: number): void {
    this.#becomeCold(now, this.#terms?.millis ?? 0);
  }

  /** Records an update from control, after which the run at the upstream's address is known again. */
  onUpdate(): void {
    this.#mayHaveRestarted = false;
  }

  /**
   * Records a refused connection. Until the next update from control, the process that answers next may be cold, and all routers that avoided
   * the upstream would try it at the same moment.
   */
  onConnectionRefused(now: number): void {
    if (!this.#mayHaveRestarted) {
      this.#becomeCold(now, 0);
      this.#mayHaveRestarted = true;
    }
  }

  recordSuccess(now: number): void {
    if (this.#mayHaveRestarted) {
      this.#mayHaveRestarted = false;
      this.#coldUntil = Math.max(this.#coldUntil, now + (this.#terms?.millis ?? 0));
    }
  }

  #timeSlotsFrom(now: number): WarmupTimeSlots {
    this.#timeSlots ??= new WarmupTimeSlots(this.upstream, now);
    return this.#timeSlots;
  }

  #becomeCold(now: number, millis: number): void {
    if (now >= this.#coldUntil && !this.#mayHaveRestarted) {
      this.#timeSlots = new WarmupTimeSlots(this.upstream, now);
    }
    this.#coldUntil = Math.max(this.#coldUntil, now + millis);
  }
}
