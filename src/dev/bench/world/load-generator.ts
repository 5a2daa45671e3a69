/** Callers in virtual time: open-loop streams of requests, retried after the Retry-After of a refusal. */
import type { ServiceDefinition } from '../../../model/service.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import { RandomSource, ZipfDistribution } from '../../virtual/random-source.js';
import { WALL_START } from './model-control.js';
import type { ModelNetwork } from './model-network.js';
import type { FinalAnswer, ModelRouter } from './model-router.js';
import type { RequestTally } from './request-tally.js';

const MILLIS_PER_SECOND = 1000;
const STREAMS_PER_SEED = 100;
const DEFAULT_KEY_PREFIX = 'key/';

/** Requests of one kind at a steady rate. */
export interface LoadStream {
  readonly service: ServiceDefinition;
  readonly from: number;
  readonly to: number;
  readonly requestsPerSecond: number;
  /** Number of keys; 0 for services that aren't keyed. */
  readonly keys: number;
  readonly skew: number;
  readonly method: 'GET' | 'POST';
  /** Maximum number of retries of a request that is refused as `not-run` with Retry-After. */
  readonly returns: number;
}

export interface LoadParts {
  readonly queue: EventQueue;
  /** Each stream draws from its own source, so that the rate of one stream doesn't affect the others. */
  readonly seed: number;
  readonly network: ModelNetwork;
  readonly routers: readonly ModelRouter[];
  readonly tally: RequestTally;
}

/** A running stream. */
interface OpenStream {
  readonly stream: LoadStream;
  readonly zipf: ZipfDistribution | null;
  readonly random: RandomSource;
}

interface Call {
  readonly random: RandomSource;
  readonly stream: LoadStream;
  readonly key: string | null;
  readonly id: string | null;
  readonly sentAt: number;
  retriesLeft: number;
}

/** Returns the name of the key at a popularity rank; the keys of exact keyspaces come first. */
export function keyName(service: ServiceDefinition, rank: number): string {
  const exact = service.keyspaces.filter((keyspace) => keyspace.kind === 'exact');
  const named = service.keyspaces.find((keyspace) => keyspace.kind === 'prefix' && keyspace.match !== '');
  return exact[rank]?.match ?? `${named?.match ?? DEFAULT_KEY_PREFIX}${rank + 1}`;
}

export class LoadGenerator {
  private callCount = 0;
  private openCalls = 0;
  private stopped = false;

  constructor(private readonly parts: LoadParts) {}

  /** Number of calls without a final answer. */
  get open(): number {
    return this.openCalls;
  }

  get isStopped(): boolean {
    return this.stopped;
  }

  start(stream: LoadStream, index: number): void {
    const zipf = stream.keys > 0 ? new ZipfDistribution(stream.keys, stream.skew) : null;
    const random = new RandomSource(this.parts.seed * STREAMS_PER_SEED + index);
    this.parts.queue.at(stream.from, () => this.scheduleNext({ stream, zipf, random }));
  }

  /** Starts no new calls; open calls continue. */
  stop(): void {
    this.stopped = true;
  }

  private scheduleNext(open: OpenStream): void {
    const { queue } = this.parts;
    const at = queue.now + open.random.exponential(MILLIS_PER_SECOND / open.stream.requestsPerSecond);
    if (this.stopped || at >= open.stream.to) {
      return;
    }
    queue.at(at, () => {
      if (!this.stopped) {
        this.call(open);
        this.scheduleNext(open);
      }
    });
  }

  private call({ stream, zipf, random }: OpenStream): void {
    const { queue, tally } = this.parts;
    this.callCount += 1;
    const call: Call = {
      random,
      stream,
      key: zipf === null ? null : keyName(stream.service, zipf.draw(random)),
      id: stream.service.repeatable ? null : `call-${this.callCount}`,
      sentAt: queue.now,
      retriesLeft: stream.returns,
    };
    this.openCalls += 1;
    tally.recordSent(stream.service.name, call.sentAt);
    this.send(call);
  }

  private send(call: Call): void {
    const { network, routers } = this.parts;
    const router = call.random.pick(routers);
    const idempotency =
      call.id === null ? null : { key: call.id, issuedAt: WALL_START + call.sentAt, fingerprint: call.id };
    const request = {
      service: call.stream.service.name,
      key: call.key,
      method: call.stream.method,
      target: `/${call.key ?? ''}`,
      deadlineMillis: null,
      idempotency,
    };
    network.sendClient(() => {
      router.handleRequest(request, (answer) => network.sendClient(() => this.onAnswer(call, answer)));
    });
  }

  private onAnswer(call: Call, answer: FinalAnswer): void {
    const { queue, tally } = this.parts;
    const { service } = call.stream;
    if (answer.type === 'refuse') {
      tally.recordRefusal(service.name, answer, call.sentAt);
      // A request with an idempotency key may be retried after any outcome: the key prevents a second run.
      const mayReturn = answer.outcome === 'not-run' || call.id !== null;
      if (call.retriesLeft > 0 && mayReturn && answer.retryAfterMillis !== null) {
        call.retriesLeft -= 1;
        queue.after(answer.retryAfterMillis, () => this.send(call));
        return;
      }
    }
    this.openCalls -= 1;
    const good =
      answer.type === 'delivered' &&
      (call.stream.returns > 0 || queue.now - call.sentAt <= service.deadlineMillis);
    tally.recordAnswer(
      { service: service.name, key: call.key, sentAt: call.sentAt, answeredAt: queue.now, good },
      answer,
    );
  }
}
