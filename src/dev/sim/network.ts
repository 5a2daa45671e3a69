/** The simulated network: latency by zone, one-way or two-way cuts of zones and processes, loss and delay. */

import type { EventQueue } from '../virtual/event-queue.js';
import type { Random } from './random.js';
import type { SimProcess } from './sim-process.js';

/** One-way latencies in milliseconds. */
export interface NetworkTimings {
  readonly sameZoneMillis: number;
  readonly betweenZonesMillis: number;
  readonly clientMillis: number;
}

/** Disturbances that faults switch on and off. */
export interface NetworkDisturbances {
  /** Share of messages lost (datagram-like traffic only). */
  loss: number;
  /** Share of messages that are delivered twice (datagram-like traffic only). */
  duplication: number;
  /** Share of messages with an extra delay. */
  lateShare: number;
  /** Maximum extra delay of a late message. */
  lateMillis: number;
}

/** A blocked direction between two ends; each end is a zone, a process name or `*`. */
interface Cut {
  readonly from: string;
  readonly to: string;
}

/** Zone of callers and operators. */
export const CLIENT_ZONE = 'clients';
/** Relative jitter of latencies. */
const LATENCY_JITTER = 0.4;

export class Network {
  readonly disturbances: NetworkDisturbances = { loss: 0, duplication: 0, lateShare: 0, lateMillis: 0 };
  private readonly cuts = new Set<Cut>();
  private readonly refusals = new Set<Cut>();

  constructor(
    readonly time: EventQueue,
    private readonly timings: NetworkTimings,
    private readonly random: Random,
  ) {}

  /** Blocks one direction until the returned function is called. Ends are zones, process names or `*`. */
  cut(from: string, to: string): () => void {
    const cut = { from, to };
    this.cuts.add(cut);
    return () => {
      this.cuts.delete(cut);
    };
  }

  /** Refuses new connections from one end to another until the returned function is called. */
  refuse(from: string, to: string): () => void {
    const refusal = { from, to };
    this.refusals.add(refusal);
    return () => {
      this.refusals.delete(refusal);
    };
  }

  /** Whether a device on the way refuses connections from one process to the other. */
  isRefused(from: SimProcess, to: SimProcess): boolean {
    return [...this.refusals].some((refusal) => matches(refusal.from, from) && matches(refusal.to, to));
  }

  /** Ends every cut and disturbance. */
  heal(): void {
    this.cuts.clear();
    this.refusals.clear();
    Object.assign(this.disturbances, { loss: 0, duplication: 0, lateShare: 0, lateMillis: 0 });
  }

  /** Whether messages from one process to the other are blocked now. */
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

  /** Samples the one-way latency, including the extra delay of late messages. */
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

  /** Sends a message that may be lost, duplicated, delayed or reordered. */
  sendDatagram(from: SimProcess, to: SimProcess, deliver: () => void): void {
    if (this.isBlocked(from, to) || this.random.chance(this.disturbances.loss)) {
      return;
    }
    const copies = this.random.chance(this.disturbances.duplication) ? 2 : 1;
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
    const { lateShare, lateMillis } = this.disturbances;
    const jittered = base * this.random.between(1 - LATENCY_JITTER, 1 + LATENCY_JITTER);
    return this.random.chance(lateShare) ? jittered + this.random.between(0, lateMillis) : jittered;
  }
}

function matches(end: string, process: SimProcess): boolean {
  return end === '*' || end === process.zone || end === process.name || process.name.startsWith(`${end}-`);
}
