/** What others announce of an upstream: an operator that drains it, a platform that calls it gone. */
import got from 'got';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { FaultLog, Target } from './fault-log.js';

export class AnnouncedFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;

  constructor(fleet: Fleet, log: FaultLog) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** An operator drains an upstream and takes it back after `length` milliseconds. */
  async drain(fault: ScheduledFault, { name: upstream }: Target, length: number): Promise<void> {
    const { journal, operator } = this.#fleet;
    this.#log.note(fault, upstream);
    await operator.must(['upstream', 'drain', upstream, '--no-wait']);
    journal.write({ event: 'drain-accepted', upstream });
    await this.#fleet.wait(length);
    journal.write({ event: 'return-accepted', upstream });
    await operator.must(['upstream', 'drain', upstream, '--undo', '--no-wait']);
  }

  /** The platform's list names an upstream as gone for `length` milliseconds although it lives. */
  async lieOfPlatform(fault: ScheduledFault, { name: upstream }: Target, length: number): Promise<void> {
    const { journal, plan } = this.#fleet;
    const url = `http://${plan.platform.listen}/machines/${upstream}`;
    this.#log.note(fault, upstream);
    journal.write({ event: 'platform-lied', upstream });
    await got.put(url, { json: { state: 'gone' } });
    await this.#fleet.wait(length);
    await got.put(url, { json: { state: 'live' } });
    journal.write({ event: 'platform-corrected', upstream });
  }
}
