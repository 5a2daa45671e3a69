/** Faults announced by others: an operator drains an upstream, or the platform lists it as gone or leaving. */
import got from 'got';
import type { MachineState } from '../../standins/platform/platform-standin.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import { upstreamsOf } from '../fleet-plan.js';
import type { FaultLog, Target } from './fault-log.js';

export class AnnouncedFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;

  constructor(fleet: Fleet, log: FaultLog) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** An operator drains an upstream and undoes the drain after `length` milliseconds. */
  async drain(fault: ScheduledFault, { name: upstream }: Target, length: number): Promise<void> {
    const { journal, operator } = this.#fleet;
    this.#log.note(fault, upstream);
    await operator.runOrThrow(['upstream', 'drain', upstream, '--no-wait']);
    journal.write({ event: 'drain-accepted', upstream });
    await this.#fleet.wait(length);
    journal.write({ event: 'return-accepted', upstream });
    await operator.runOrThrow(['upstream', 'drain', upstream, '--undo', '--no-wait']);
  }

  /** The platform lists a live upstream, or all upstreams of its service, as `state` for `length` milliseconds. */
  async listFalseState(
    fault: ScheduledFault,
    { name: upstream }: Target,
    state: 'gone' | 'leaving',
    length: number,
  ): Promise<void> {
    const { journal } = this.#fleet;
    const names = fault.type === 'platform-leaving-all' ? this.#upstreamsOfSameService(upstream) : [upstream];
    this.#log.note(fault, upstream);
    journal.write({ event: 'platform-lied', upstream });
    await this.#setListedState(names, state);
    await this.#fleet.wait(length);
    await this.#setListedState(names, 'live');
    journal.write({ event: 'platform-corrected', upstream });
  }

  /** Sets the listed state at once, without the list's lag. */
  async #setListedState(upstreams: readonly string[], state: MachineState): Promise<void> {
    const { listen } = this.#fleet.plan.platform;
    const puts = upstreams.map((upstream) =>
      got.put(`http://${listen}/machines/${upstream}`, { json: { state, listed: true } }),
    );
    await Promise.all(puts);
  }

  /** Ids of all upstreams of the service of upstream `id`. */
  #upstreamsOfSameService(id: string): string[] {
    const upstreams = upstreamsOf(this.#fleet.plan);
    const service = upstreams.find((upstream) => upstream.id === id)?.service;
    return upstreams.filter((upstream) => upstream.service === service).map((upstream) => upstream.id);
  }
}
