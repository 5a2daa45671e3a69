/** A caller that sends the same request repeatedly, through any router; each upstream that begins to run it crashes. */
import type { World } from '../world.js';
import type { CallerRequest } from './request-send.js';
import { SimCaller } from './sim-caller.js';

/** Mean time between two sends. */
const PAUSE_MILLIS = 250;

export class CrashingCaller extends SimCaller {
  readonly #content: string;
  readonly #createCrashingRequest: () => CallerRequest;
  #orders = 0;

  constructor(world: World, number: number) {
    super(world, number);
    const service = this.random.pick(world.sizes.services);
    const { name, repeatable } = service.definition;
    const key = service.keys.length === 0 ? null : this.random.pick(service.keys);
    this.#content = `${name}/crash ${this.name}`;
    this.#createCrashingRequest = () => ({
      service,
      key,
      content: this.#content,
      idempotency: repeatable ? null : this.#nextOrder(),
      sends: 0,
    });
    world.crashingContents.add(this.#content);
  }

  /** Draws the start time from its own random stream. */
  drawStartMillis(windowMillis: number): number {
    return this.random.between(0, windowMillis);
  }

  protected override onStart(): void {
    this.think();
  }

  protected override think(): void {
    this.send(this.#createCrashingRequest());
    this.schedule(this.random.exponential(PAUSE_MILLIS), () => this.think());
  }

  override onSendEnded(): void {}

  override drawPatienceMillis(): number | null {
    return null;
  }

  /** Each send is a new order with the same content. */
  #nextOrder() {
    this.#orders += 1;
    const key = `${this.name}/${this.#orders}`;
    return { key, issuedAt: this.clock.wall(), fingerprint: this.#content };
  }
}
