/** An operator: changes services and upstreams based on the revisions it read, races others, resends unanswered requests, reads back. */
import type { OperatorResponse } from '../../../control/types.js';
import { parseShardId } from '../../../model/identifiers.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../../model/service.js';
import type { OperatorCommand, ServiceRecord, ShardRecord, UpstreamRecord } from '../../../registry/types.js';
import type { SizedService } from '../sim-sizes.js';
import type { SimUpstream } from '../upstream/sim-upstream.js';
import { type OnOperatorResponse, OperatorClient, QUEUE_LIMIT_BASE } from './operator-client.js';

const THINK_MILLIS = 350;
/** Interval between the changes of a burst. */
const BURST_MILLIS = 10;
/** Share of changes of a keyed service that remap its keys. */
const REMAP_SHARE = 0.15;
/** Minimum number of active upstreams of a service that remain when one is marked as leaving. */
const MIN_ACTIVE_UPSTREAMS = 2;
/** Probability per visit that a leaving upstream is removed, and that a removed one is declared again. */
const REMOVE_SHARE = 0.5;
const RETURN_SHARE = 0.4;

export class SimOperator extends OperatorClient {
  /** Whether it makes only changes that move no keys. */
  isQuiet = false;

  /** Declares the whole deployment, services first. */
  declare(): void {
    this.isCareful = true;
    let left = this.world.sizes.services.length;
    for (const { definition } of this.world.sizes.services) {
      this.applyService(definition, null, () => {
        left -= 1;
        if (left === 0) {
          this.declareUpstreams();
        }
      });
    }
  }

  private declareUpstreams(): void {
    let left = this.world.upstreams.length;
    for (const upstream of this.world.upstreams) {
      this.applyUpstream(upstream, false, null, () => {
        left -= 1;
        this.isCareful = left > 0;
      });
    }
  }

  /** Makes one change whose answer isn't lost; calls `done` if it was decided. */
  probe(done: () => void): void {
    this.isCareful = true;
    const [service] = this.world.sizes.services;
    this.applyService((service as SizedService).definition, null, (response) => {
      this.isCareful = false;
      if (response.type === 'result') {
        done();
      }
    });
  }

  /** Reads and changes a service that the other operators change at the same time. */
  raceToChange(service: string): void {
    this.ask({ type: 'get-services' }, (response) => {
      const records = response.type === 'services' ? response.services : [];
      const record = records.find(({ definition }) => definition.name === service);
      if (record !== undefined) {
        this.applyService(record.definition, record.revision);
      }
    });
  }

  /** Declares removed upstreams again and ends the draining of all others. */
  undrainAll(): void {
    this.ask({ type: 'get-upstreams' }, (response) => {
      const records = response.type === 'upstreams' ? response.upstreams : [];
      for (const upstream of this.world.upstreams) {
        if (!records.some(({ definition }) => definition.id === upstream.id)) {
          this.applyUpstream(upstream, false, null);
        }
      }
      for (const { definition, revision } of records) {
        const upstream = this.world.upstreams.find(({ id }) => id === definition.id);
        if (definition.leaving && upstream !== undefined) {
          this.applyUpstream(upstream, false, revision);
        }
      }
    });
  }

  /** Makes `count` changes in quick succession. */
  burst(count: number): void {
    const ended = (): void => this.world.recorder.count('change of a burst');
    for (let number = 0; number < count; number += 1) {
      this.schedule(number * BURST_MILLIS, () => {
        const { definition } = this.random.pick(this.world.sizes.services);
        this.applyService(definition, null, ended);
      });
    }
  }

  protected onStart(): void {
    this.schedule(THINK_MILLIS, () => this.think());
  }

  protected onStop(): void {}

  private think(): void {
    this.schedule(this.random.exponential(THINK_MILLIS), () => this.think());
    const reads = [
      { type: 'get-services' },
      { type: 'get-upstreams' },
      { type: 'get-shards', service: null },
    ] as const;
    this.ask(this.random.pick(reads), (response) => this.changeFromResponse(response));
  }

  private changeFromResponse(response: OperatorResponse): void {
    if (response.type === 'services' && response.services.length > 0) {
      const record = this.random.pick(response.services);
      this.applyService(this.alterDefinition(record), record.revision);
    }
    if (response.type === 'upstreams' && response.upstreams.length > 0) {
      this.changeMembers(response.upstreams);
    }
    if (response.type === 'shards' && response.shards.length > 0 && !this.isQuiet) {
      this.moveShard(this.random.pick(response.shards));
    }
  }

  /** Declares a removed upstream again, or else drains, restores or removes one. */
  private changeMembers(records: readonly UpstreamRecord[]): void {
    const missing = this.missingIn(records);
    if (missing !== undefined && this.random.chance(RETURN_SHARE)) {
      this.applyUpstream(missing, false, 0);
      return;
    }
    const record = this.random.pick(records);
    if (record.definition.leaving && !this.isQuiet && this.random.chance(REMOVE_SHARE)) {
      this.removeUpstream(record);
      return;
    }
    this.toggleLeaving(record, records);
  }

  private missingIn(records: readonly UpstreamRecord[]): SimUpstream | undefined {
    const known = new Set(records.map(({ definition }) => definition.id));
    return this.world.upstreams.find(({ id }) => !known.has(id));
  }

  private removeUpstream({ definition, revision }: UpstreamRecord): void {
    const command: OperatorCommand = { type: 'upstream-remove', upstream: definition.id, expected: revision };
    const marker = `-#${this.world.nextNumber()}`;
    for (const upstream of this.world.upstreams.filter(({ id }) => id === definition.id)) {
      upstream.isDrainRequested = true;
    }
    const value = { thing: `upstream/${definition.id}`, marker, leaving: true, removed: true };
    this.change(command, value, () => this.world.recorder.count('removal of an upstream asked for'));
  }

  /** Moves a shard. A move to the current owner changes nothing, so several may succeed against one revision. */
  private moveShard({ shard, revision }: ShardRecord): void {
    const service = parseShardId(shard)?.service;
    const peers = this.world.upstreams.filter((upstream) => upstream.service.definition.name === service);
    const to = this.random.pick(peers).id;
    const marker = `#${this.world.nextNumber()}`;
    const value = { thing: `shard/${shard}`, marker, leaving: null, removed: false };
    const command: OperatorCommand = { type: 'shard-move', shard, to, expected: revision };
    this.change(command, value, () => this.world.recorder.count('move of a shard asked for'), null);
  }

  /** Returns the service's definition, at times with another number of shards. */
  private alterDefinition({ definition }: ServiceRecord): ServiceDefinition {
    if (this.isQuiet || !definition.keyed || !this.random.chance(REMAP_SHARE)) {
      return definition;
    }
    const keyspaces = definition.keyspaces.map((keyspace) =>
      keyspace.kind === 'exact' ? keyspace : { ...keyspace, shards: this.random.integer(2, 5) },
    );
    return { ...definition, keyspaces };
  }

  private toggleLeaving(record: UpstreamRecord, records: readonly UpstreamRecord[]): void {
    const { id, service, leaving } = record.definition;
    const activeRecords = records.filter(
      ({ definition }) => definition.service === service && !definition.leaving,
    );
    const upstream = this.world.upstreams.find((candidate) => candidate.id === id);
    if (upstream !== undefined && !this.isQuiet && (leaving || activeRecords.length > MIN_ACTIVE_UPSTREAMS)) {
      this.applyUpstream(upstream, !leaving, record.revision);
    }
  }

  private applyService(
    definition: ServiceDefinition,
    expected: number | null,
    done?: OnOperatorResponse,
  ): void {
    const marker = this.world.nextMarker();
    const command: OperatorCommand = {
      type: 'service-apply',
      definition: { ...definition, queueLimit: QUEUE_LIMIT_BASE + marker },
      expected,
    };
    const thing = `service/${definition.name}`;
    this.change(command, { thing, marker: `#${marker}`, leaving: null, removed: false }, done);
  }

  applyUpstream(upstream: SimUpstream, leaving: boolean, expected: number | null, done?: () => void): void {
    const marker = this.world.nextMarker();
    const definition: UpstreamDefinition = {
      id: upstream.id,
      service: upstream.service.definition.name,
      address: upstream.address(marker),
      zone: upstream.zone,
      mayHold: [],
      leaving,
    };
    const thing = `upstream/${upstream.id}`;
    upstream.isDrainRequested = leaving;
    this.change(
      { type: 'upstream-apply', definition, expected },
      { thing, marker: `#${marker}`, leaving, removed: false },
      done,
    );
  }
}
