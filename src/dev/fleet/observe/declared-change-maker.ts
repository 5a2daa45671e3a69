/** Repeatedly changes a route of the declared document as an operator, each time under a higher version, and reads the version back. */
import { setTimeout as delay } from 'node:timers/promises';
import { machineMillis } from '../../journal/machine-clock.js';
import { FIRST_VERSION, routeTo } from '../declared-document.js';
import type { Fleet } from '../fleet.js';

const PAUSE_MILLIS = 500;
/** Time after its acknowledgement at which a change is in force at routers in touch with control. */
const APPLY_MILLIS = 2000;
/** Priorities between which a route changes. */
const PRIORITIES = [1, 2] as const;

export class DeclaredChangeMaker {
  readonly #fleet: Fleet;
  readonly #service: Fleet['plan']['deployment']['services'][number];
  #version = FIRST_VERSION;
  #stopped = false;
  #running: Promise<void> | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    const [first] = fleet.plan.deployment.services;
    this.#service = first as NonNullable<typeof first>;
  }

  start(): void {
    this.#running = this.#run();
  }

  /** Stops after the current change and reads the version a last time. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#running;
    await this.#read();
  }

  async #run(): Promise<void> {
    while (!this.#stopped && !this.#fleet.signal.aborted) {
      await this.#change();
      await this.#read();
      await delay(PAUSE_MILLIS);
    }
  }

  async #change(): Promise<void> {
    const { admin, journal } = this.#fleet;
    const service = this.#service.name;
    const value = this.#version + 1;
    const priority = PRIORITIES[value % PRIORITIES.length] as number;
    journal.write({ event: 'change-sent', service, value });
    const change = { version: value, set: { routes: [routeTo(this.#service, priority)] } };
    const revision = await admin.declare('PATCH', this.#version, change);
    this.#version = value;
    await delay(APPLY_MILLIS);
    journal.write({ event: 'change-in-force', service, value, revision });
  }

  async #read(): Promise<void> {
    const since = machineMillis();
    const value = await this.#fleet.admin.declaredVersion().catch(() => null);
    if (value !== null) {
      this.#fleet.journal.write({ event: 'change-read', service: this.#service.name, value, since });
    }
  }
}
