/** A caller that sends one and the same request again and again, through any router: whoever begins to run it crashes. */
import type { World } from '../world.js';
import type { Wish } from './sending.js';
import { SimCaller } from './sim-caller.js';

/** Mean time between two sendings. */
const PAUSE_MILLIS = 250;

export class CrashingCaller extends SimCaller {
  readonly #content: string;
  readonly #wishOnce: () => Wish;
  #orders = 0;

  constructor(world: World, number: number) {
    super(world, number);
    const service = this.random.pick(world.sizes.services);
    const { name, repeatable } = service.definition;
    const key = service.keys.length === 0 ? null : this.random.pick(service.keys);
    this.#content = `${name}/crash ${this.name}`;
    this.#wishOnce = () => ({
      service,
      key,
      content: this.#content,
      idempotency: repeatable ? null : this.#nextOrder(),
      sends: 0,
    });
    world.crashing.add(this.#content);
  }

  /** When it begins, drawn from its own random numbers. */
  startsAfter(windowMillis: number): number {
    return this.random.between(0, windowMillis);
  }

  protected override onStart(): void {
    this.think();
  }

  protected override think(): void {
    this.send(this.#wishOnce());
    this.schedule(this.random.exponential(PAUSE_MILLIS), () => this.think());
  }

  override ended(): void {}

  override giveUpAfter(): number | null {
    return null;
  }

  /** Each sending is another order, of the same thing. */
  #nextOrder() {
    this.#orders += 1;
    const key = `${this.name}/${this.#orders}`;
    return { key, issuedAt: this.clock.wall(), fingerprint: this.#content };
  }
}
