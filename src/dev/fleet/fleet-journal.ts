/** The runner's own journal of its actions and reads. */
import { JournalWriter } from '../journal/journal-writer.js';
import { machineMillis } from '../journal/machine-clock.js';
import type { FleetEventRecord } from '../journal/records.js';

type WithoutTime<Item> = Item extends unknown ? Omit<Item, 'type' | 'at' | 'wall'> : never;
/** An event without its time. */
export type FleetEvent = WithoutTime<FleetEventRecord>;

export class FleetJournal {
  readonly #writer: JournalWriter;

  constructor(file: string) {
    this.#writer = new JournalWriter(file);
  }

  write(event: FleetEvent): void {
    const record = { type: 'fleet-event', at: machineMillis(), wall: Date.now(), ...event };
    this.#writer.write(record as FleetEventRecord);
  }

  close(): void {
    this.#writer.close();
  }
}
