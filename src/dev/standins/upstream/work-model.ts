/** Models the service times and the reported load of a stand-in upstream. */
import type { RandomSource } from '../../virtual/random-source.js';
import type { UpstreamSettings } from './upstream-settings.js';

export class WorkModel {
  readonly #settings: UpstreamSettings;
  readonly #random: RandomSource;
  readonly #startedAt: number;

  /** `startedAt` and later times are on one monotonic clock, in milliseconds. */
  constructor(settings: UpstreamSettings, random: RandomSource, startedAt: number) {
    this.#settings = settings;
    this.#random = random;
    this.#startedAt = startedAt;
  }

  /** Draws the service time of a request started at `now`. */
  drawServiceMillis(now: number): number {
    return this.#drawWarm() * this.#coldFactor(now);
  }

  #drawWarm(): number {
    const { kind, meanMillis, sigma } = this.#settings.serviceTime;
    switch (kind) {
      case 'constant':
        return meanMillis;
      case 'exponential':
        return this.#random.exponential(meanMillis);
      case 'log-normal':
        return this.#random.logNormal(meanMillis, sigma);
    }
  }

  /** Falls linearly from the factor in the settings to 1. */
  #coldFactor(now: number): number {
    const { millis, factor } = this.#settings.coldStart;
    const age = now - this.#startedAt;
    return age >= millis ? 1 : 1 + (factor - 1) * (1 - age / millis);
  }
}

interface LoadSample {
  readonly at: number;
  readonly load: number;
}

/** Load reports that are delayed and may be false. */
export class LoadReporter {
  readonly #lagMillis: number;
  readonly #factor: number;
  #samples: LoadSample[] = [];

  constructor(lagMillis: number, factor: number) {
    this.#lagMillis = lagMillis;
    this.#factor = factor;
  }

  /** Records the true load at `now`. */
  observe(load: number, now: number): void {
    if (this.#lagMillis === 0) {
      this.#samples = [{ at: now, load }];
      return;
    }
    this.#samples.push({ at: now, load });
    const lastReportable = this.#samples.findLastIndex((sample) => sample.at <= now - this.#lagMillis);
    this.#samples.splice(0, Math.max(0, lastReportable));
  }

  /** Returns the load that the upstream reports at `now`. */
  report(now: number): number {
    const latest = this.#samples.findLast((sample) => sample.at <= now - this.#lagMillis);
    return (latest?.load ?? 0) * this.#factor;
  }
}
