/** The simulated network: latency by zone, cuts of zones and single processes in either direction, loss and delay. */

import type { EventQueue } from '../virtual/event-queue.js';
import type { Random } from './random.js';
import type { SimProcess } from './sim-process.js';

/** Latencies one way, in milliseconds. */
export interface NetworkTimings {
  readonly sameZoneMillis: number;
  readonly betweenZonesMillis: number;
  readonly clientMillis: number;
}

/** Disturbances that fault plans turn on and off. */
export interface NetworkWeather {
  /** Share of messages lost (datagram-like traffic only). */
  loss: number;
  /** Share of messages that arrive twice (datagram-like traffic only). */
  duplication: number;
  /** Share of messages that are late. */
  lateShare: number;
  /** Longest extra delay of late messages. */
  lateMillis: number;
}

/** One direction between two ends; each end is a zone or a process name, or `*`. */
interface Cut {
  readonly from: string;
  readonly to: string;
}

/** Where callers and operators are. */
export const CLIENT_ZONE = 'clients';
/** Relative jitter of latencies. */
const JITTER = 0.4;

export class Network {
  readonly weather: NetworkWeather = { loss: 0, duplication: 0, lateShare: 0, lateMillis: 0 };
  private readonly cuts = new Set<Cut>();

  constructor(
    readonly time: EventQueue,
    private readonly timings: NetworkTimings,
    private readonly random: Random,
  ) {}

  /** Blocks one direction until the returned function is called. Ends are zones, names of processes, or `*`. */
  cut(from: string, to: string): () => void {
    const cut = { from, to };
    this.cuts.add(cut);
    return () => {
      this.cuts.delete(cut);
    };
  }

  /** Ends every cut and disturbance. */
  heal(): void {
    this.cuts.clear();
    Object.assign(this.weather, { loss: 0, duplication: 0, lateShare: 0, lateMillis: 0 });
  }

  /** Whether nothing gets from one process to the other now. */
  isBlocked(from: SimProcess, to: SimProcess): boolean {
    if (from === to) {
      return false;
    }
    for (const cut of this.cuts) {
      if (matches(cut.from, from) && matches(cut.to, to)) {
        return true;
      }
    }
    return false;
  }

  /** A sample of the latency one way, late messages included. */
  latency(from: SimProcess, to: SimProcess): number {
    return this.withDelay(this.baseLatency(from.zone, to.zone));
  }

  private baseLatency(from: string, to: string): number {
    const { sameZoneMillis, betweenZonesMillis, clientMillis } = this.timings;
    if (from === CLIENT_ZONE || to === CLIENT_ZONE) {
      return clientMillis;
    }
    return from === to ? sameZoneMillis : betweenZonesMillis;
  }

  /** Sends a message that may be lost, doubled, late and overtaken. */
  sendDatagram(from: SimProcess, to: SimProcess, deliver: () => void): void {
    if (this.isBlocked(from, to) || this.random.chance(this.weather.loss)) {
      return;
    }
    const copies = this.random.chance(this.weather.duplication) ? 2 : 1;
    const run = to.run;
    for (let copy = 0; copy < copies; copy += 1) {
      this.time.after(this.latency(from, to), () => {
        if (to.run === run) {
          to.post(deliver);
        }
      });
    }
  }

  private withDelay(base: number): number {
    const { lateShare, lateMillis } = this.weather;
    const jittered = base * this.random.between(1 - JITTER, 1 + JITTER);
    return this.random.chance(lateShare) ? jittered + this.random.between(0, lateMillis) : jittered;
  }
}

function matches(end: string, process: SimProcess): boolean {
  return end === '*' || end === process.zone || end === process.name || process.name.startsWith(`${end}-`);
}
