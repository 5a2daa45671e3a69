/** A router daemon with declared routes, before one upstream that announces itself and for which a test writes every byte. */
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import type { RouteDefinition } from '../../src/model/declaration.js';
import type { RoutingSnapshot } from '../../src/registry/types.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { RouterDaemonSettings } from '../../src/router/settings.js';
import { createRouterNode } from '../../src/routing/index.js';
import { service, upstream } from '../routing/router-harness.js';
import { LogRecorder } from './log-recorder.js';
import { type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

export const ANSWER_BODY = 'the whole sheet';

export class RoutedRouter {
  private constructor(
    readonly server: ScriptedUpstream,
    readonly daemon: RouterDaemon,
    readonly log: LogRecorder,
    private readonly control: ControlStandin,
  ) {}

  /** Requests under `/reads/` may be repeated, those under `/orders/` may not. */
  static async start(settings: Partial<RouterDaemonSettings> = {}): Promise<RoutedRouter> {
    const server = await new ScriptedUpstream().start();
    const control = new ControlStandin(snapshotWith(server.address));
    const log = new LogRecorder();
    const daemon = new RouterDaemon(
      {
        ...BENCH_IDENTITY,
        router: 'r1',
        zone: 'a',
        listen: '127.0.0.1:0',
        admin: '127.0.0.1:0',
        control: [await control.start()],
        byRoutes: true,
        ...settings,
        timings: { probeMillis: 0, ...settings.timings },
      },
      createRouterNode,
      'koa',
      log,
    );
    await daemon.start();
    return new RoutedRouter(server, daemon, log, control);
  }

  async stop(): Promise<void> {
    await this.daemon.stop();
    await this.control.stop();
    await this.server.stop();
  }
}

/** Head of an answer that carries the id of its request. */
export function answerHead(request: ScriptedRequest, status: string, lines: readonly string[] = []): string {
  const id = request.headers.get('ternmount-request-id') ?? '';
  return [`HTTP/1.1 ${status}`, `ternmount-request-id: ${id}`, ...lines, '', ''].join('\r\n');
}

/** Writes a whole answer with a length. */
export function writeAnswer(
  request: ScriptedRequest,
  status = '200 OK',
  lines: readonly string[] = [],
): void {
  const length = `content-length: ${ANSWER_BODY.length}`;
  request.socket.write(answerHead(request, status, [...lines, length]) + ANSWER_BODY);
}

/** Writes that the request was rejected before it ran. */
export function writeRefusal(request: ScriptedRequest): void {
  writeAnswer(request, '503 Service Unavailable', ['ternmount-not-run: 1']);
}

function route(name: string, repeatable: boolean): RouteDefinition {
  return {
    name,
    host: 'menu.example',
    prefix: `/${name}/`,
    repeatable,
    timeoutMillis: 1000,
    targetMillis: 200,
    maxAttempts: 2,
    priority: 1,
    split: [{ service: 'menu', weight: 1 }],
  };
}

function snapshotWith(address: string): RoutingSnapshot {
  const announced = { slots: 2, warmupMillis: 0 };
  return {
    revision: 3,
    services: [service('menu')],
    upstreams: [{ ...upstream('menu-1', 'menu', { address, announced }), incarnation: 'menu-1' }],
    shards: [],
    routes: ['reads', 'orders'].map((name) => ({ definition: route(name, name === 'reads'), revision: 2 })),
    declaration: null,
    ranges: [],
    suspects: [],
  };
}
