/** An operator that repeatedly evacuates a zone and restores it. A request is repeated until it is accepted. */
import type { World } from '../world.js';
import { OperatorClient } from './operator-client.js';

/** Mean time for which the zone is in use, and evacuated. */
const IN_USE_MILLIS = 500;
const EVACUATED_MILLIS = 4500;

export class EvacuatingOperator extends OperatorClient {
  /** Each operator has its own zone, so that no other one restores it. */
  readonly #zone: string;
  #isOut = false;
  #isRequesting = false;
  #isEnding = false;

  constructor(world: World, number: number) {
    super(world, number);
    const { zones } = world.sizes;
    this.#zone = zones[number % zones.length] as string;
  }

  /** Draws the start time from its own random stream. */
  drawStartMillis(windowMillis: number): number {
    return this.random.between(0, windowMillis);
  }

  /** Restores the zone and evacuates no more. */
  end(): void {
    this.#isEnding = true;
    if (this.#isOut && !this.#isRequesting) {
      this.restore();
    }
  }

  protected onStart(): void {
    this.evacuate();
  }

  protected onStop(): void {}

  private evacuate(): void {
    if (this.#isEnding) {
      return;
    }
    this.requestUntilAccepted(true, () => {
      if (this.#isEnding) {
        this.restore();
      } else {
        this.schedule(this.random.exponential(EVACUATED_MILLIS), () => this.restore());
      }
    });
  }

  private restore(): void {
    if (this.#isOut && !this.#isRequesting) {
      this.requestUntilAccepted(false, () =>
        this.schedule(this.random.exponential(IN_USE_MILLIS), () => this.evacuate()),
      );
    }
  }

  /** Requests an evacuation or restoration. Routers may use the zone from the moment at which its restoration is requested. */
  private requestUntilAccepted(isOut: boolean, done: () => void): void {
    const { recorder, time } = this.world;
    const zone = this.#zone;
    const upstreams = this.world.upstreams.filter((upstream) => upstream.zone === zone).map(({ id }) => id);
    this.#isRequesting = true;
    this.world.evacuatedZones.add(zone);
    if (!isOut) {
      recorder.record({ type: 'evacuation-answered', at: time.now, isOut, upstreams });
    }
    this.ask({ type: 'evacuate', actor: this.name, zone, isOut }, (response) => {
      if (response.type !== 'result' || response.result.type !== 'accepted') {
        this.requestUntilAccepted(isOut, done);
        return;
      }
      this.#isRequesting = false;
      this.#isOut = isOut;
      recorder.count(isOut ? 'zone taken out of use' : 'zone given back');
      if (isOut) {
        recorder.record({ type: 'evacuation-answered', at: time.now, isOut, upstreams });
      } else {
        this.world.evacuatedZones.delete(zone);
      }
      done();
    });
  }
}
