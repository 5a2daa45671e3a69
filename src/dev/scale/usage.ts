/** Samples of a process's resource usage, and rates between two samples. */
import { machineMillis } from '../journal/machine-clock.js';
import type { StepCounts } from './counting-core.js';
import type { SocketMeter } from './socket-meter.js';

export interface UsageSample extends StepCounts {
  readonly atMillis: number;
  readonly cpuMillis: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** Rates between two samples. */
export interface UsageRates {
  readonly bytesInPerSecond: number;
  readonly bytesOutPerSecond: number;
  readonly messagesPerSecond: number;
  /** Share of one core, from 0; above 1 if the process uses several cores. */
  readonly processorShare: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly stepsPerSecond: number;
  readonly longestStepMillis: number;
}

const MICROSECONDS_PER_MILLISECOND = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Samples this process. */
export function sampleUsage(meter: SocketMeter, counts: StepCounts): UsageSample {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    atMillis: machineMillis(),
    cpuMillis: (user + system) / MICROSECONDS_PER_MILLISECOND,
    residentBytes: rss,
    heapBytes: heapUsed,
    ...meter.read(),
    ...counts,
  };
}

/** Returns the rates from `before` to `after`, divided by the `members` that share the process. */
export function ratesBetween(before: UsageSample, after: UsageSample, members = 1): UsageRates {
  const millis = after.atMillis - before.atMillis;
  const perSecond = (from: number, to: number): number =>
    ((to - from) * MILLISECONDS_PER_SECOND) / millis / members;
  const messages = (sample: UsageSample): number => sample.messagesIn + sample.messagesOut;
  return {
    bytesInPerSecond: perSecond(before.bytesIn, after.bytesIn),
    bytesOutPerSecond: perSecond(before.bytesOut, after.bytesOut),
    messagesPerSecond: perSecond(messages(before), messages(after)),
    processorShare: (after.cpuMillis - before.cpuMillis) / millis / members,
    residentBytes: after.residentBytes / members,
    heapBytes: after.heapBytes / members,
    stepsPerSecond: perSecond(before.steps, after.steps),
    longestStepMillis: after.longestStepMillis,
  };
}

/** Returns the mean over several processes of one role; the longest step is the maximum. */
export function meanOf(rates: readonly UsageRates[]): UsageRates {
  const mean = (read: (rate: UsageRates) => number): number =>
    rates.reduce((sum, rate) => sum + read(rate), 0) / Math.max(1, rates.length);
  return {
    bytesInPerSecond: mean((rate) => rate.bytesInPerSecond),
    bytesOutPerSecond: mean((rate) => rate.bytesOutPerSecond),
    messagesPerSecond: mean((rate) => rate.messagesPerSecond),
    processorShare: mean((rate) => rate.processorShare),
    residentBytes: mean((rate) => rate.residentBytes),
    heapBytes: mean((rate) => rate.heapBytes),
    stepsPerSecond: mean((rate) => rate.stepsPerSecond),
    longestStepMillis: Math.max(0, ...rates.map((rate) => rate.longestStepMillis)),
  };
}
