/** Message delays between zones, and partitions. Messages sent across a cut are lost; those already in flight arrive. */
import type { Zone } from '../../../model/identifiers.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import type { RandomSource } from '../../virtual/random-source.js';

/** One-way delay within a zone. */
const WITHIN_ZONE_MILLIS = 0.1;
/** One-way delays vary by up to this share in both directions. */
const JITTER_SHARE = 0.1;

export interface NetworkTimes {
  readonly betweenZonesMillis: number;
  readonly clientMillis: number;
}

export class ModelNetwork {
  /** Zones cut off from all other zones in both directions. Clients reach every zone. */
  private readonly cutZones = new Set<Zone>();

  constructor(
    private readonly queue: EventQueue,
    private readonly random: RandomSource,
    private readonly times: NetworkTimes,
  ) {}

  cut(zone: Zone): void {
    this.cutZones.add(zone);
  }

  heal(zone: Zone): void {
    this.cutZones.delete(zone);
  }

  isCut(from: Zone, to: Zone): boolean {
    return from !== to && (this.cutZones.has(from) || this.cutZones.has(to));
  }

  /** Delivers a message between processes; returns `false` if it is lost. */
  send(from: Zone, to: Zone, deliver: () => void): boolean {
    if (this.isCut(from, to)) {
      return false;
    }
    this.queue.after(this.oneWay(from, to), deliver);
    return true;
  }

  /** Delivers a message between a client and a process. */
  sendClient(deliver: () => void): void {
    this.queue.after(this.jittered(this.times.clientMillis), deliver);
  }

  /** Draws a one-way delay between two zones. */
  oneWay(from: Zone, to: Zone): number {
    return this.jittered(from === to ? WITHIN_ZONE_MILLIS : this.times.betweenZonesMillis);
  }

  private jittered(millis: number): number {
    return millis * (1 + JITTER_SHARE * (2 * this.random.fraction() - 1));
  }
}
