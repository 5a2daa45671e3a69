/** Callers in virtual time: open streams of requests, which come back after Retry-After if they are told to. */
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
  /** How often a caller that was refused as `not-run` with Retry-After comes again. */
  readonly returns: number;
}

export interface LoadParts {
  readonly queue: EventQueue;
  /** Each stream draws from a source of its own, so that one stream's rate changes nothing about another. */
  readonly seed: number;
  readonly network: ModelNetwork;
  readonly routers: readonly ModelRouter[];
  readonly tally: RequestTally;
}

/** A stream under way. */
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
  returnsLeft: number;
}

/** Names of a service's keys by popularity: exact matches first. */
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

  /** Calls that wait for their final answer. */
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

  /** No new calls; those that are open go on. */
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
      returnsLeft: stream.returns,
    };
    this.openCalls += 1;
    tally.sent(stream.service.name, call.sentAt);
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
      router.arrive(request, (answer) => network.sendClient(() => this.answered(call, answer)));
    });
  }

  private answered(call: Call, answer: FinalAnswer): void {
    const { queue, tally } = this.parts;
    const { service } = call.stream;
    if (answer.type === 'refuse') {
      tally.noteRefusal(service.name, answer, call.sentAt);
      // An order may come again whatever was said of it: its idempotency key keeps it from running twice.
      const mayReturn = answer.outcome === 'not-run' || call.id !== null;
      if (call.returnsLeft > 0 && mayReturn && answer.retryAfterMillis !== null) {
        call.returnsLeft -= 1;
        queue.after(answer.retryAfterMillis, () => this.send(call));
        return;
      }
    }
    this.openCalls -= 1;
    const good =
      answer.type === 'delivered' &&
      (call.stream.returns > 0 || queue.now - call.sentAt <= service.deadlineMillis);
    tally.answered(
      { service: service.name, key: call.key, sentAt: call.sentAt, answeredAt: queue.now, good },
      answer,
    );
  }
}
