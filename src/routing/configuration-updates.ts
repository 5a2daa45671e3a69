/** Applies configuration changes to the router's own state. */
import type { RouteDefinition } from '../model/declaration.js';
import type { UpstreamId, Zone } from '../model/identifiers.js';
import type { RegistryChange, ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';
import type { Dispatcher } from './dispatcher.js';
import type { LostAttempts } from './lost-attempts.js';
import type { PickerName } from './picker/picker.js';
import type { RequestIntake } from './request-intake.js';
import type { RouterContext } from './router-context.js';
import { ServiceState } from './service-state.js';
import { affinityOf } from './upstream/affinity.js';
import { UpstreamState } from './upstream/upstream-state.js';
import { noticeSourceOf, runNameOf } from './watched-runs.js';

const DEFAULT_PICKER: PickerName = 'least-work';

export interface ConfigurationUpdatesParts {
  readonly context: RouterContext;
  readonly dispatcher: Dispatcher;
  readonly intake: RequestIntake;
  readonly lost: LostAttempts;
}

export class ConfigurationUpdates {
  /** Upstreams of the first snapshot are older than this router, so they don't count as cold. */
  private firstSnapshot = true;

  private readonly context: RouterContext;
  private readonly dispatcher: Dispatcher;
  private readonly intake: RequestIntake;
  private readonly lost: LostAttempts;

  constructor(parts: ConfigurationUpdatesParts) {
    this.context = parts.context;
    this.dispatcher = parts.dispatcher;
    this.intake = parts.intake;
    this.lost = parts.lost;
  }

  /** Applies changes that the view already contains, then dispatches what can be sent now. */
  apply(changes: readonly RegistryChange[]): void {
    const remapped = new Set<ServiceState>();
    for (const change of changes) {
      if (change.type === 'service') {
        this.applyService(change.name, change.record, remapped);
      } else if (change.type === 'upstream') {
        this.applyUpstream(change.id, change.record);
      } else if (change.type === 'shard') {
        this.applyShard(change.shard, change.record);
      } else if (change.type === 'range') {
        this.markRemapped(change.service, remapped);
      } else if (change.type === 'evacuation') {
        this.applyEvacuation(change.zone, change.record !== null);
      } else if (change.type === 'suspect') {
        this.context.crashes.suspectChanged(change.fingerprint, change.record);
      } else if (change.type === 'route') {
        this.updateRanks(change.name, change.record?.definition ?? null);
      } else if (change.type === 'declaration' && change.record !== null) {
        this.context.emit({ type: 'limit-callers', limits: change.record.limits });
      }
    }
    this.firstSnapshot = false;
    if (changes.some(({ type }) => type === 'shard')) {
      this.lost.markEndedGrants();
    }
    for (const service of remapped) {
      this.dispatcher.relocate(service);
    }
    for (const service of this.context.services.values()) {
      this.dispatcher.drainService(service);
    }
  }

  private applyService(name: string, record: ServiceRecord | null, remapped: Set<ServiceState>): void {
    const { services } = this.context;
    const service = services.get(name);
    if (record === null) {
      this.removeService(service);
      return;
    }
    if (service === undefined) {
      this.addService(record);
      return;
    }
    if (service.update(record)) {
      remapped.add(service);
    }
  }

  /** Updates the ranks in use: a rank that a route no longer has is no longer counted. */
  private updateRanks(name: string, definition: RouteDefinition | null): void {
    const terms = definition === null ? null : { route: name, ...definition };
    for (const { presence } of this.context.services.values()) {
      presence.onRouteChange(name, terms);
    }
  }

  private addService(record: ServiceRecord): void {
    const { picker = DEFAULT_PICKER, roomByRank = false } = this.context.config;
    const service = new ServiceState(record, picker, roomByRank);
    this.context.services.set(service.name, service);
    for (const upstream of this.context.view.upstreamsOf(service.name)) {
      this.attach(upstream, service);
    }
  }

  private removeService(service: ServiceState | undefined): void {
    if (service === undefined) {
      return;
    }
    this.context.services.delete(service.name);
    this.intake.refuseWaiting(service, 'unknown-service');
    for (const upstream of service.upstreams) {
      this.context.upstreams.delete(upstream.id);
      this.context.paths.remove(upstream);
    }
  }

  private applyUpstream(id: UpstreamId, record: UpstreamRecord | null): void {
    const state = this.context.upstreams.get(id);
    if (state !== undefined && record?.definition.service === state.record.definition.service) {
      this.recordNextRun(state, record);
      state.update(record, this.context.now);
      state.setNotices(this.context.notices.get(noticeSourceOf(state.id, runNameOf(state))));
      return;
    }
    if (state !== undefined) {
      this.detach(state);
    }
    const service = record === null ? undefined : this.context.services.get(record.definition.service);
    if (record !== null && service !== undefined) {
      this.attach(record, service);
    }
  }

  /** Starts or ends the evacuation of a zone: its upstreams get no new requests meanwhile. Requests in flight there continue. */
  private applyEvacuation(zone: Zone, isEvacuated: boolean): void {
    const { now, upstreams } = this.context;
    for (const upstream of upstreams.values()) {
      if (upstream.zone === zone) {
        upstream.evacuated(isEvacuated, now);
      }
    }
    for (const service of this.context.services.values()) {
      if (service.isOutOfUse) {
        this.intake.refuseWaiting(service, 'no-upstream');
      }
    }
    const { revision } = this.context.view;
    const fields = { zone, isEvacuated, revision };
    this.context.emit({ type: 'log', level: 'warn', event: 'zone-evacuation-changed', fields });
  }

  /** Records the end of an upstream's previous run if it has a new incarnation. */
  private recordNextRun(state: UpstreamState, { incarnation }: UpstreamRecord): void {
    const previousRun = runNameOf(state);
    const isNewRun = incarnation !== null && incarnation !== state.incarnation;
    if (isNewRun && previousRun !== null) {
      this.context.crashes.runs.ended(previousRun, 'next-incarnation');
    }
  }

  private attach(record: UpstreamRecord, service: ServiceState): void {
    const { now, upstreams } = this.context;
    if (upstreams.has(record.definition.id)) {
      return;
    }
    const coldSince = this.firstSnapshot ? Number.NEGATIVE_INFINITY : now;
    const { announced } = record.definition;
    const state = new UpstreamState(
      record,
      announced?.slots ?? service.definition.slotsPerUpstream,
      coldSince,
      affinityOf(this.context.config.router, record.definition.id),
    );
    state.warmupState.setTerms(service.definition.warmup ?? null);
    state.updateWarmup(now);
    state.setFleetView(this.context.fleet);
    state.evacuated(this.context.view.isEvacuated(state.zone), now);
    state.setNotices(this.context.notices.resume(noticeSourceOf(state.id, runNameOf(state))));
    upstreams.set(state.id, state);
    if (announced !== undefined) {
      this.context.crashes.runs.recordRunAt(record.definition.address, runNameOf(state) ?? state.id);
    }
    service.addUpstream(state);
  }

  /** Removes an upstream; attempts in flight there continue. */
  private detach(state: UpstreamState): void {
    this.context.upstreams.delete(state.id);
    this.context.paths.remove(state);
    this.context.fleet.removeUpstream(state.id);
    this.context.services.get(state.record.definition.service)?.removeUpstream(state.id);
  }

  /** Marks a service for remapping: after ranges are split or merged, waiting keys may belong to other ranges. */
  private markRemapped(name: string, remapped: Set<ServiceState>): void {
    const service = this.context.services.get(name);
    if (service !== undefined) {
      remapped.add(service);
    }
  }

  private applyShard(shard: string, record: ShardRecord | null): void {
    const service = this.context.services.get(shard.slice(0, shard.indexOf('/')));
    const shardQueue = service?.queues.find(shard);
    if (service !== undefined && shardQueue !== undefined) {
      service.queues.reassign(shardQueue, record?.owner ?? null);
      shardQueue.resume();
    }
  }
}
