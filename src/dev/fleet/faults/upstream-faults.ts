/** Bad answers and false hints of a stand-in upstream, switched on and off through its control endpoint. */
import got from 'got';
import type { FaultKind } from '../../standins/upstream/fault-switchboard.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { FaultLog, Target } from './fault-log.js';

export class UpstreamFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;

  constructor(fleet: Fleet, log: FaultLog) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** Applies the fault to each request or hint of an upstream for `length` milliseconds. */
  async hold(fault: ScheduledFault, kind: FaultKind, { name }: Target, length: number): Promise<void> {
    await this.#setFaultShare(name, kind, 1);
    this.#log.note(fault, name);
    await this.#fleet.wait(length);
    await this.#setFaultShare(name, kind, 0);
  }

  async #setFaultShare(upstream: string, kind: FaultKind, share: number): Promise<void> {
    const process = this.#fleet.plan.upstreams.find(({ name }) => name === upstream);
    const url = `http://${process?.admin}/upstreams/${upstream}/faults`;
    await got.put(url, { json: { kind, share } });
  }
}
