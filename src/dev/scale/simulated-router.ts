/**
 * A simulated router without requests and without its own configuration: its connections, syncs, lease and reports are
 * those of the daemon; received configuration goes into a copy that all simulated routers of the process share.
 */
import type { ControlToRouter, LoadReport, SyncResponse } from '../../control/messages.js';
import { DEFAULT_CONFIG_LEASE_TIMINGS } from '../../control/messages.js';
import { createLogger } from '../../logging/logger.js';
import type { Revision } from '../../model/identifiers.js';
import { ControlLinks } from '../../router/control-links.js';
import { ConfigurationLease } from '../../routing/configuration-lease.js';
import { LeaderGuess } from '../../routing/leader-guess.js';
import { DEFAULT_WIRE_LIMITS } from '../../wire/index.js';
import type { SharedConfiguration } from './shared-configuration.js';
import type { SharedDecoder } from './shared-decoder.js';
import type { RunIdentity } from './worker-calls.js';

const REPORT_MILLIS = 1000;
const MIN_TICK_MILLIS = 1;

export interface SimulatedRouterOptions {
  readonly identity: RunIdentity;
  readonly router: string;
  readonly zone: string;
  /** Position among the routers, which distributes them over the control members. */
  readonly position: number;
  readonly shared: SharedConfiguration;
  readonly decoder: SharedDecoder;
  readonly report: () => LoadReport;
  /** Called when the router holds a later revision than before. */
  readonly onAdvanced: (revision: Revision) => void;
  readonly onMessage: (direction: 'in' | 'out') => void;
}

export class SimulatedRouter {
  /** Revision held; 0 before the first snapshot. */
  revision: Revision = 0;
  private readonly lease: ConfigurationLease;
  private readonly links: ControlLinks;
  private readonly leader: LeaderGuess;
  private timer: NodeJS.Timeout | undefined;
  private reportedAt = performance.now();
  private stopped = false;

  constructor(private readonly options: SimulatedRouterOptions) {
    const { identity, router, position } = options;
    this.lease = new ConfigurationLease(identity.control, DEFAULT_CONFIG_LEASE_TIMINGS, position);
    this.leader = new LeaderGuess(identity.control, position);
    this.links = new ControlLinks({
      identity: {
        greeting: { type: 'greeting', cluster: identity.cluster, kind: 'router', name: router, zone: '' },
        secret: identity.secret,
        expects: ['control'],
      },
      limits: DEFAULT_WIRE_LIMITS,
      log: createLogger('scale'),
      received: (_from, message) => this.receive(message),
      decode: (frame) => options.decoder.decode(frame),
      lost: (from) => {
        this.lease.onMemberLost(from, performance.now());
        this.pump();
      },
    });
  }

  start(): void {
    this.links.start(this.options.identity.control);
    this.pump();
  }

  /** Whether the router could currently serve requests. */
  get serving(): boolean {
    return this.lease.isValid(performance.now());
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.links.stop();
  }

  private receive(message: ControlToRouter): void {
    this.options.onMessage('in');
    const now = performance.now();
    if (message.type === 'change-notice') {
      this.lease.onRevisionNotice(message.revision, this.revision, now);
    } else if (message.type === 'sync-news') {
      const gap = this.applyUpdate({ snapshot: null, delta: message.delta });
      this.lease.onUpdateApplied(this.revision, gap, now);
    } else if (message.type === 'sync-response') {
      const gap = this.applyUpdate(message);
      this.lease.answered(message, this.revision, gap, now);
      this.leader.setHint(message.leader);
    }
    this.pump();
  }

  /** Applies a snapshot or a delta. Returns whether there is a gap between the held revision and the delta. */
  private applyUpdate({ snapshot, delta }: Pick<SyncResponse, 'snapshot' | 'delta'>): boolean {
    if (snapshot !== null && snapshot.revision > this.revision) {
      this.options.shared.applySnapshot(snapshot);
      this.advance(snapshot.revision);
    } else if (delta !== null && delta.to > this.revision) {
      if (delta.from > this.revision || this.revision === 0) {
        return true;
      }
      this.options.shared.applyDelta(delta);
      this.advance(delta.to);
    }
    return false;
  }

  private advance(revision: Revision): void {
    this.revision = revision;
    this.options.onAdvanced(revision);
  }

  private pump(): void {
    if (this.stopped) {
      return;
    }
    const now = performance.now();
    const attempt = this.lease.startSync(now);
    if (attempt !== undefined) {
      this.options.onMessage('out');
      const { router, zone } = this.options;
      this.links.send(attempt.to, {
        type: 'sync-request',
        router,
        incarnation: router,
        zone,
        stamp: attempt.stamp,
        have: attempt.wantsSnapshot ? 0 : this.revision,
      });
      this.sendReport(now);
    }
    clearTimeout(this.timer);
    const wait = Math.max(MIN_TICK_MILLIS, Math.ceil(this.lease.nextSyncAt() - performance.now()));
    this.timer = setTimeout(() => this.pump(), wait);
  }

  private sendReport(now: number): void {
    const leader = this.leader.target();
    if (leader !== null && now - this.reportedAt >= REPORT_MILLIS) {
      this.reportedAt = now;
      this.links.send(leader, this.options.report());
    }
  }
}
