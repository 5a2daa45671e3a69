/** Drives a router core in tests, with a clock and a configuration, and records its effects. */
import type { ControlToRouter, RouterToControl } from '../../src/control/messages.js';
import type { ClaimResult } from '../../src/ledger/types.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../src/model/service.js';
import type {
  RegistryChange,
  RoutingSnapshot,
  ServiceRecord,
  ShardRecord,
  UpstreamRecord,
} from '../../src/registry/types.js';
import { createRouterNode } from '../../src/routing/index.js';
import type {
  ArrivedRequest,
  AttemptResult,
  RouterConfig,
  RouterCore,
  RouterEffect,
  RouterInput,
} from '../../src/routing/types.js';

export type EffectOf<Type extends RouterEffect['type']> = Extract<RouterEffect, { type: Type }>;

export const MEMBERS = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'];

export const CONFIG: RouterConfig = {
  router: 'r1',
  incarnation: 'i1',
  zone: 'a',
  seed: 1,
  control: MEMBERS,
  configLease: { configLeaseMillis: 1800, syncMillis: 400, clockRateError: 0.005 },
  claimTimeoutMillis: 1000,
};

export const ANSWERED: AttemptResult = { type: 'answered', status: 200, load: null, stored: null };

export function service(name: string, changes: Partial<ServiceDefinition> = {}): ServiceRecord {
  const definition: ServiceDefinition = {
    name,
    keyed: false,
    repeatable: true,
    priority: 'interactive',
    deadlineMillis: 5000,
    slotsPerUpstream: 2,
    retryBudget: 0.2,
    queueLimit: 20,
    holdLimitMillis: 1000,
    coalesce: false,
    wholeAnswerBytes: 65536,
    retentionMillis: 86_400_000,
    placement: { unavailability: 1, imbalance: 1, churn: 1 },
    movesPerMinute: 10,
    keyspaces: changes.keyed ? [{ name: 'all', kind: 'prefix', match: '', shards: 1 }] : [],
    policy: [],
    ...changes,
  };
  return { definition, revision: 1, generation: 1 };
}

export function upstream(
  id: string,
  serviceName: string,
  changes: Partial<UpstreamDefinition> = {},
): UpstreamRecord {
  const definition = {
    id,
    service: serviceName,
    address: `127.1.0.1:${id.replace(/\D/g, '')}`,
    zone: 'a',
    mayHold: [],
    leaving: false,
    ...changes,
  };
  return { definition, revision: 1, incarnation: `${id}-1` };
}

/** The only shard of a keyed service created by `service`. */
export function onlyShard(serviceName: string, owner: string | null, epoch: number): ShardRecord {
  const shard = `${serviceName}/all@1/0`;
  const incarnation = owner === null ? null : `${owner}-1`;
  return { shard, owner, incarnation, epoch, movingTo: null, revision: epoch };
}

export class RouterHarness {
  now = 1000;
  readonly wall = 1_700_000_000_000;
  readonly core: RouterCore;
  /** All effects since the start. */
  readonly effects: RouterEffect[] = [];
  revision = 1;
  /** Number of the next request. */
  nextRequest = 1;

  constructor(config: RouterConfig = CONFIG) {
    this.core = createRouterNode(config);
  }

  step(input: RouterInput): RouterEffect[] {
    const effects = this.core.step(input, this.now, this.wall);
    this.effects.push(...effects);
    return effects;
  }

  /** Advances the clock without an input. */
  advance(millis: number): RouterEffect[] {
    this.now += millis;
    return this.step({ type: 'tick' });
  }

  /** Advances the clock with a tick at each deadline of the core; control answers each sync. */
  run(millis: number): RouterEffect[] {
    const end = this.now + millis;
    const emitted: RouterEffect[] = [];
    while (this.now < end) {
      this.now = Math.min(end, Math.max(this.now + 1, this.core.nextDeadline()));
      const effects = this.step({ type: 'tick' });
      emitted.push(...effects, ...this.answerSyncs(effects));
    }
    return emitted;
  }

  /** Starts with a configuration and a valid lease. */
  start(
    services: readonly ServiceRecord[],
    upstreams: readonly UpstreamRecord[],
    shards: readonly ShardRecord[] = [],
  ): this {
    const stamp = this.syncStamp(this.step({ type: 'tick' }));
    const emptyParts = { routes: [], declaration: null, ranges: [], suspects: [] };
    const snapshot: RoutingSnapshot = { revision: this.revision, services, upstreams, shards, ...emptyParts };
    this.respond(stamp, { snapshot });
    return this;
  }

  /** Sends changes as a delta from the previous revision. */
  change(changes: readonly RegistryChange[]): RouterEffect[] {
    const from = this.revision;
    this.revision += 1;
    return this.respond(this.now, { delta: { from, to: this.revision, changes } });
  }

  respond(
    stamp: number,
    parts: Partial<Extract<ControlToRouter, { type: 'sync-response' }>> = {},
  ): RouterEffect[] {
    return this.fromControl({
      type: 'sync-response',
      stamp,
      confirmed: true,
      revision: this.revision,
      snapshot: null,
      delta: null,
      leader: MEMBERS[0] as string,
      members: [],
      turn: null,
      ...parts,
    });
  }

  fromControl(message: ControlToRouter, from = MEMBERS[0] as string): RouterEffect[] {
    return this.step({ type: 'control-message', from, message });
  }

  request(serviceName: string, changes: Partial<ArrivedRequest> = {}): RouterEffect[] {
    const request: ArrivedRequest = {
      request: this.nextRequest++,
      service: serviceName,
      key: null,
      method: 'GET',
      target: '/',
      deadlineMillis: null,
      idempotency: null,
      ...changes,
    };
    return this.step({ type: 'request', request });
  }

  order(serviceName: string, key = 'order-1'): RouterEffect[] {
    const idempotency = { key, issuedAt: this.wall, fingerprint: 'f' };
    return this.request(serviceName, { method: 'POST', idempotency });
  }

  ended(attempt: number, result: AttemptResult = ANSWERED): RouterEffect[] {
    return this.step({ type: 'attempt-ended', attempt, result });
  }

  claimResult(claimant: string, result: ClaimResult | null, leader: string | null = null): RouterEffect[] {
    return this.fromControl({ type: 'claim-response', claimant, result, leader });
  }

  answerSyncs(effects: readonly RouterEffect[]): RouterEffect[] {
    return syncsIn(effects).flatMap((message) => this.respond(message.stamp));
  }

  private syncStamp(effects: readonly RouterEffect[]): number {
    return syncsIn(effects)[0]?.stamp ?? this.now;
  }
}

export function effectsOfType<Type extends RouterEffect['type']>(
  effects: readonly RouterEffect[],
  type: Type,
): EffectOf<Type>[] {
  return effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
}

/** Messages of one type sent to control. */
export function controlMessages<Type extends RouterToControl['type']>(
  effects: readonly RouterEffect[],
  type: Type,
): Extract<RouterToControl, { type: Type }>[] {
  return effectsOfType(effects, 'send-control')
    .map((effect) => effect.message)
    .filter((message): message is Extract<RouterToControl, { type: Type }> => message.type === type);
}

function syncsIn(effects: readonly RouterEffect[]) {
  return controlMessages(effects, 'sync-request');
}
