/** Repeatedly changes a service as an operator, each time to a larger value, and reads the value back. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { stringify } from 'yaml';
import { serviceDocument } from '../../../settings/definition-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { Fleet } from '../fleet.js';

const PAUSE_MILLIS = 500;
const REVISION_PATTERN = /in force everywhere, revision (\d+)/;

export class ChangeMaker {
  readonly #fleet: Fleet;
  readonly #service: Fleet['plan']['deployment']['services'][number];
  #value: number;
  #stopped = false;
  #running: Promise<void> | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    const { services } = fleet.plan.deployment;
    this.#service = services.find(({ keyed }) => keyed) ?? (services[0] as (typeof services)[number]);
    this.#value = this.#service.movesPerMinute;
  }

  start(): void {
    this.#running = this.#run();
  }

  /** Stops after the current change and reads the value a last time. */
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
    const { journal, operator, plan } = this.#fleet;
    this.#value += 1;
    const service = this.#service.name;
    const value = this.#value;
    const file = join(plan.folder, 'change.yaml');
    writeFileSync(file, stringify(serviceDocument({ ...this.#service, movesPerMinute: value })));
    journal.write({ event: 'change-sent', service, value });
    const { exitCode, output } = await operator.run(['service', 'apply', file]);
    const revision = Number(REVISION_PATTERN.exec(output)?.[1] ?? 0);
    if (exitCode === 0 && revision > 0) {
      journal.write({ event: 'change-in-force', service, value, revision });
      await this.#readRouters();
    }
  }

  async #read(): Promise<void> {
    const since = machineMillis();
    const service = this.#service.name;
    const records = await this.#fleet.admin.services().catch(() => []);
    const record = records.find(({ definition }) => definition.name === service);
    if (record !== undefined) {
      const value = record.definition.movesPerMinute;
      this.#fleet.journal.write({ event: 'change-read', service, value, since });
    }
  }

  async #readRouters(): Promise<void> {
    const { admin, journal, plan } = this.#fleet;
    for (const router of plan.routers) {
      const since = machineMillis();
      const state = await admin.routerHealth(router.admin);
      if (state !== undefined) {
        const { revision, serving } = state;
        journal.write({ event: 'router-read', router: router.name, revision, serving, since });
      }
    }
  }
}
