/**
 * Control member of the proxy bench: serves one configuration to routers, confirms it on every sync request, and grants
 * every claim immediately. It has no peers and stores nothing.
 */
import type {
  ControlToRouter,
  CrashReport,
  LoadReport,
  RouterToControl,
  SyncRequest,
  UpstreamReport,
} from '../../../control/messages.js';
import type { Address } from '../../../model/identifiers.js';
import type { RoutingSnapshot } from '../../../registry/types.js';
import {
  controlToRouterCodecs,
  DEFAULT_WIRE_LIMITS,
  type FrameConnection,
  FrameServer,
  routerToControlCodecs,
} from '../../../wire/index.js';
import { BENCH_IDENTITY } from './bench-identity.js';

/** Messages that are answered. */
type Answered = Exclude<RouterToControl, LoadReport | CrashReport | UpstreamReport>;

export class ControlStandin {
  private server: FrameServer | undefined;
  private reportBytes = 0;

  /** Reports of requests during which upstreams terminated; they aren't answered. */
  readonly crashReports: CrashReport[] = [];
  /** Whether settlements of claims are acknowledged; if not, their messages are lost. */
  acknowledgesSettlements = true;
  /** Claimants of the settlements that were acknowledged. */
  readonly settled: string[] = [];
  private readonly routers = new Set<FrameConnection>();

  constructor(private snapshot: RoutingSnapshot) {}

  /** Listens on any free port and returns its address. */
  async start(): Promise<Address> {
    const { cluster, secret } = BENCH_IDENTITY;
    this.server = await FrameServer.listen({
      listen: '127.0.0.1:0',
      identity: {
        greeting: { type: 'greeting', cluster, kind: 'control', name: 'bench-control', zone: '' },
        secret,
        expects: ['router'],
      },
      limits: DEFAULT_WIRE_LIMITS,
      owner: {
        ready: (connection) => this.routers.add(connection),
        received: (connection, frame) => {
          const message = routerToControlCodecs.decode(frame.kind, frame.payload);
          if (message.type === 'load-report') {
            this.reportBytes = Math.max(this.reportBytes, frame.payload.length);
          } else if (message.type === 'crash-report') {
            this.crashReports.push(message);
          } else if (message.type !== 'upstream-report') {
            this.answer(connection, message);
          }
        },
        closed: (connection) => this.routers.delete(connection),
      },
    });
    return this.server.address;
  }

  /** Publishes a later configuration and sends a change notice to connected routers. */
  publish(snapshot: RoutingSnapshot): void {
    this.snapshot = snapshot;
    for (const router of this.routers) {
      this.reply(router, { type: 'change-notice', revision: snapshot.revision });
    }
  }

  /** Sends a message to all connected routers without a request. */
  send(message: ControlToRouter): void {
    for (const router of this.routers) {
      this.reply(router, message);
    }
  }

  /** Size of the largest load report received, in bytes. */
  get largestReportBytes(): number {
    return this.reportBytes;
  }

  async stop(): Promise<void> {
    await this.server?.stop();
  }

  private answer(connection: FrameConnection, message: Answered): void {
    if (message.type === 'settle-request') {
      if (!this.acknowledgesSettlements) {
        return;
      }
      this.settled.push(message.claimant);
    }
    this.reply(connection, this.answerTo(message));
  }

  private answerTo(message: Answered): ControlToRouter {
    switch (message.type) {
      case 'sync-request':
        return this.syncResponse(message);
      case 'claim-request':
        return {
          type: 'claim-response',
          claimant: message.claimant,
          result: { type: 'granted' },
          leader: null,
        };
      case 'settle-request':
        return { type: 'settle-response', claimant: message.claimant, settled: true, leader: null };
    }
  }

  private syncResponse({ stamp, have }: SyncRequest): ControlToRouter {
    const { revision } = this.snapshot;
    const snapshot = have < revision ? this.snapshot : null;
    return {
      type: 'sync-response',
      stamp,
      confirmed: true,
      revision,
      snapshot,
      delta: null,
      leader: null,
      members: [],
      turn: null,
    };
  }

  private reply(connection: FrameConnection, message: ControlToRouter): void {
    const { kind, payload } = controlToRouterCodecs.encode(message);
    connection.send(kind, payload);
  }
}
