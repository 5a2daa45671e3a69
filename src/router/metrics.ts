/** Metrics of a router daemon. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { droppedLogLines } from '../logging/logger.js';
import type { ServiceName } from '../model/identifiers.js';
import type { AttemptResult, RouterStatus } from '../routing/types.js';
import type { AbortReason } from './caller/caller-exchange.js';
import type { ConnectionsUsage } from './caller/caller-exchanges.js';
import { NO_RELAY_USAGE, type RelayUsage } from './relay/relay-server.js';

const SECONDS_BUCKETS = [0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1, 2, 4, 8];
const MILLIS_PER_SECOND = 1000;
/** Service label of all requests for services that don't exist, which bounds the number of series. */
const UNKNOWN_SERVICE = '(unknown)';

const NO_CONNECTIONS: ConnectionsUsage = {
  connections: 0,
  paused: 0,
  deepest: 0,
  heldAnswerBytes: 0,
  waitingAnswers: 0,
};
/** Observations of a series held before they are passed to its histogram. */
const MAX_PENDING_OBSERVATIONS = 256;

/** Batches increments of one counter series: `prom-client` looks up the labels each time, which is expensive on every request. */
class BatchedCounter {
  #pending = 0;

  constructor(private readonly counter: Counter.Internal) {}

  inc(): void {
    this.#pending += 1;
  }

  /** Passes the pending increments to the counter. */
  flush(): void {
    if (this.#pending > 0) {
      this.counter.inc(this.#pending);
      this.#pending = 0;
    }
  }
}

/** Batches observations of one histogram series. */
class BatchedHistogram {
  #pending: number[] = [];

  constructor(private readonly histogram: Histogram.Internal<'service'>) {}

  observe(value: number): void {
    this.#pending.push(value);
    if (this.#pending.length === MAX_PENDING_OBSERVATIONS) {
      this.flush();
    }
  }

  /** Passes the pending observations to the histogram. */
  flush(): void {
    for (const value of this.#pending) {
      this.histogram.observe(value);
    }
    this.#pending = [];
  }
}

/** Series of one service that are updated on every request; their labels are looked up once. */
interface ServiceSeries {
  readonly upstream: BatchedCounter;
  readonly stored: BatchedCounter;
  readonly seconds: BatchedHistogram;
}

export class RouterMetrics {
  readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'ternmount_router_requests_total',
    help: 'Requests of callers by how they were answered',
    labelNames: ['service', 'answer', 'reason'],
    registers: [this.registry],
    collect: () => this.flush(),
  });
  private readonly attempts = new Counter({
    name: 'ternmount_router_attempts_total',
    help: 'Attempts on upstreams by how they ended',
    labelNames: ['result'],
    registers: [this.registry],
    collect: () => this.flush(),
  });
  private readonly broken = new Counter({
    name: 'ternmount_router_answers_broken_off_total',
    help: 'Answers that broke the connection of their caller',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'ternmount_router_request_seconds',
    help: 'Time from the arrival of a request to the start of its answer',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
    collect: () => this.flush(),
  });
  private readonly series = new Map<ServiceName, ServiceSeries>();
  private readonly attemptSeries: Readonly<Record<AttemptResult['type'], BatchedCounter>> = {
    answered: new BatchedCounter(this.attempts.labels('answered')),
    refused: new BatchedCounter(this.attempts.labels('refused')),
    'connect-failed': new BatchedCounter(this.attempts.labels('connect-failed')),
    broken: new BatchedCounter(this.attempts.labels('broken')),
    cancelled: new BatchedCounter(this.attempts.labels('cancelled')),
  };

  constructor(
    status: () => RouterStatus,
    connections = (): ConnectionsUsage => NO_CONNECTIONS,
    relay = (): RelayUsage => NO_RELAY_USAGE,
  ) {
    this.gauge('queued', 'Requests waiting', () => status().queued);
    this.gauge('in_flight', 'Attempts under way', () => status().inFlight);
    this.routeMetrics(status);
    this.gauge('limited_upstreams', 'Upstreams that name a limit', () => status().limited);
    this.gauge('resting_upstreams', 'Upstreams that asked this router for rest', () => status().resting);
    this.gauge('leaving_upstreams', 'Upstreams that said that they leave', () => status().leaving);
    this.gauge(
      'relayed_upstreams',
      'Upstreams that are reached through other routers',
      () => status().relayed.upstreams,
    );
    this.gauge('relays_used', 'Routers that carry connections for this one', () => status().relayed.relays);
    this.gauge(
      'carried_connections',
      'Connections of other routers that this one carries',
      () => relay().connections,
    );
    this.gauge('carried_bytes', 'Bytes carried for other routers since the start', () => relay().bytes);
    this.gauge(
      'link_waiting',
      'Requests for large answers that wait for the link',
      () => status().link?.waiting ?? 0,
    );
    this.gauge(
      'link_bytes_per_second',
      'What the link carries, as far as is known; 0: the settings say nothing',
      () => (status().link?.bytesPerMilli ?? 0) * MILLIS_PER_SECOND,
    );
    this.gauge(
      'returns_promised',
      'Refused callers who were told a time of their own',
      () => status().returns.made,
    );
    this.gauge('returns_kept', 'Callers who came when told and were let in', () => status().returns.kept);
    this.gauge(
      'returns_broken',
      'Callers who came when told and were refused again',
      () => status().returns.broken,
    );
    this.gauge(
      'returns_hopeless',
      'Refused callers for whom there was no time',
      () => status().returns.hopeless,
    );
    this.gauge('revision', 'Revision of the configuration', () => status().revision);
    this.gauge('log_lines_dropped', 'Log lines that a slow reader has cost', droppedLogLines);
    this.gauge('connections', 'Connections of callers', () => connections().connections);
    this.gauge('paused_connections', 'Connections that are not read', () => connections().paused);
    this.gauge(
      'connection_requests',
      'Requests of the connection with the most',
      () => connections().deepest,
    );
    this.gauge('held_answer_bytes', 'Bytes of answers held', () => connections().heldAnswerBytes);
    this.gauge('waiting_answers', 'Answers not read further now', () => connections().waitingAnswers);
    this.gauge('serving', '1 while the configuration lease holds', () => (status().serving ? 1 : 0));
  }

  /** Counts an answer of an upstream, either fresh or stored in the ledger. */
  recordAnswer(service: ServiceName, seconds: number, kind: 'upstream' | 'stored'): void {
    const series = this.seriesOf(service);
    series[kind].inc();
    series.seconds.observe(seconds);
  }

  /** Counts an answer generated by the router. */
  recordRefusal(service: ServiceName, answer: string, reason: string): void {
    const unknown = reason === 'unknown-service' || reason === 'no-configuration';
    this.requests.inc({ service: unknown ? UNKNOWN_SERVICE : service, answer, reason });
  }

  recordAttempt(result: AttemptResult['type']): void {
    this.attemptSeries[result].inc();
  }

  /** Counts an answer that ended in closing the connection of its caller. */
  recordBrokenAnswer(reason: AbortReason): void {
    this.broken.inc({ reason });
  }

  /** Passes on all pending values before a scrape. */
  private flush(): void {
    for (const series of Object.values(this.attemptSeries)) {
      series.flush();
    }
    for (const { upstream, stored, seconds } of this.series.values()) {
      upstream.flush();
      stored.flush();
      seconds.flush();
    }
  }

  /** Only existing services have answers, so the number of entries is bounded by the services ever declared. */
  private seriesOf(service: ServiceName): ServiceSeries {
    const known = this.series.get(service);
    if (known !== undefined) {
      return known;
    }
    const created: ServiceSeries = {
      upstream: new BatchedCounter(this.requests.labels(service, 'upstream', '')),
      stored: new BatchedCounter(this.requests.labels(service, 'stored', '')),
      seconds: new BatchedHistogram(this.seconds.labels(service)),
    };
    this.series.set(service, created);
    return created;
  }

  /** Per route and rank: waiting requests, and requests by result. */
  private routeMetrics(status: () => RouterStatus): void {
    const waiting: Gauge = new Gauge({
      name: 'ternmount_router_route_waiting',
      help: 'Requests waiting by route and rank',
      labelNames: ['route', 'rank'],
      registers: [this.registry],
      collect: () => {
        for (const { route, rank, waiting: count } of status().routes) {
          waiting.set({ route, rank }, count);
        }
      },
    });
    const requests: Counter = new Counter({
      name: 'ternmount_router_route_requests_total',
      help: 'Requests by route and rank: attempts sent, requests refused, and those of them that gave way',
      labelNames: ['route', 'rank', 'what'],
      registers: [this.registry],
      collect: () => {
        requests.reset();
        for (const { route, rank, sent, refused, gaveWay } of status().routes) {
          requests.inc({ route, rank, what: 'sent' }, sent);
          requests.inc({ route, rank, what: 'refused' }, refused);
          requests.inc({ route, rank, what: 'gave-way' }, gaveWay);
        }
      },
    });
  }

  private gauge(name: string, help: string, read: () => number): void {
    const metric: Gauge = new Gauge({
      name: `ternmount_router_${name}`,
      help,
      registers: [this.registry],
      collect: () => metric.set(read()),
    });
  }
}
