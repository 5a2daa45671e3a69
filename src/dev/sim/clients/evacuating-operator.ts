/** An operator that takes zones out of use and gives them back, again and again. An order is over only when it was answered. */
import type { World } from '../world.js';
import { OperatorClient } from './operator-client.js';

/** Mean time that a zone is in use, and out of use. */
const IN_USE_MILLIS = 500;
const OUT_MILLIS = 4500;

export class EvacuatingOperator extends OperatorClient {
  /** Its own one, so that nobody else gives back what it took. */
  readonly #zone: string;
  #isOut = false;
  #isOrdering = false;
  #isEnding = false;

  constructor(world: World, number: number) {
    super(world, number);
    const { zones } = world.sizes;
    this.#zone = zones[number % zones.length] as string;
  }

  /** When it begins, drawn from its own random numbers. */
  startsAfter(windowMillis: number): number {
    return this.random.between(0, windowMillis);
  }

  /** Gives back what it took out of use, and takes nothing more. */
  end(): void {
    this.#isEnding = true;
    if (this.#isOut && !this.#isOrdering) {
      this.giveBack();
    }
  }

  protected onStart(): void {
    this.takeOut();
  }

  protected onStop(): void {}

  private takeOut(): void {
    if (this.#isEnding) {
      return;
    }
    this.order(true, () => {
      if (this.#isEnding) {
        this.giveBack();
      } else {
        this.schedule(this.random.exponential(OUT_MILLIS), () => this.giveBack());
      }
    });
  }

  private giveBack(): void {
    if (this.#isOut && !this.#isOrdering) {
      this.order(false, () => this.schedule(this.random.exponential(IN_USE_MILLIS), () => this.takeOut()));
    }
  }

  /** Nothing is held against routers from the moment at which a zone is asked to be used again. */
  private order(isOut: boolean, done: () => void): void {
    const { recorder, time } = this.world;
    const zone = this.#zone;
    const upstreams = this.world.upstreams.filter((upstream) => upstream.zone === zone).map(({ id }) => id);
    this.#isOrdering = true;
    this.world.zonesOut.add(zone);
    if (!isOut) {
      recorder.record({ type: 'evacuation-answered', at: time.now, isOut, upstreams });
    }
    this.ask({ type: 'evacuate', actor: this.name, zone, isOut }, (response) => {
      if (response.type !== 'result' || response.result.type !== 'accepted') {
        this.order(isOut, done);
        return;
      }
      this.#isOrdering = false;
      this.#isOut = isOut;
      recorder.count(isOut ? 'zone taken out of use' : 'zone given back');
      if (isOut) {
        recorder.record({ type: 'evacuation-answered', at: time.now, isOut, upstreams });
      } else {
        this.world.zonesOut.delete(zone);
      }
      done();
    });
  }
}
