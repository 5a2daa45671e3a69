/** A stand-in for the network between zones: forwards TCP connections, and delays, holds or refuses them on command. */
import Router from '@koa/router';
import Koa from 'koa';
import { parseAddress } from '../../../wire/address.js';
import { listenHttp, type RunningServer } from '../http-endpoint.js';
import { readJsonBody } from '../json-body.js';
import { StandinRandomSource } from '../random-source.js';
import { ConnectionEndings } from './connection-endings.js';
import { forwardConnection } from './link-connection.js';
import { LinkRouteListener } from './link-route.js';
import { type LinkRoute, type LinkSettings, linkEndingsSchema, linkRuleSchema } from './link-settings.js';
import { ZoneRules } from './zone-rules.js';

export class LinkStandin {
  readonly rules: ZoneRules;
  readonly #settings: LinkSettings;
  readonly #routes: LinkRouteListener[] = [];
  readonly #endings: ConnectionEndings;
  #control: RunningServer | undefined;

  constructor(settings: LinkSettings) {
    this.#settings = settings;
    this.rules = new ZoneRules(settings.zones);
    this.#endings = new ConnectionEndings(new StandinRandomSource(settings.seed));
  }

  async start(): Promise<void> {
    await Promise.all(this.#settings.routes.map((route) => this.#listen(route)));
    this.#control = await listenHttp(this.#controlApp().callback(), this.#settings.control);
  }

  /** Returns the addresses of the routes, in the order of the settings. */
  addresses(): string[] {
    return this.#routes.map(({ address }) => address);
  }

  async stop(): Promise<void> {
    this.#endings.setShare(0);
    for (const route of this.#routes) {
      route.close();
    }
    await this.#control?.close();
  }

  async #listen(route: LinkRoute): Promise<void> {
    const target = parseAddress(route.target);
    const listener = new LinkRouteListener(route.listen, route.target, (inbound, onRefused) => {
      const sourceZone = this.rules.zoneOf(inbound.remoteAddress ?? '');
      const ends = {
        sourceZone,
        isCallers: this.#settings.clients?.zone === sourceZone,
        targetZone: route.targetZone,
        targetHost: target.host,
        targetPort: target.port,
        delayMillis: this.#delayFrom(sourceZone),
      };
      const onOpened = this.#endings.add.bind(this.#endings);
      forwardConnection(inbound, ends, this.rules, { onRefused, onOpened });
    });
    this.#routes.push(listener);
    await listener.open();
  }

  #delayFrom(sourceZone: string): number {
    const { clients, delayMillis } = this.#settings;
    return clients?.zone === sourceZone ? clients.delayMillis : delayMillis;
  }

  #controlApp(): Koa {
    const router = new Router();
    router.post('/rules', async (context) => {
      this.rules.apply(linkRuleSchema.parse(await readJsonBody(context.req)));
      context.status = 204;
    });
    router.post('/endings', async (context) => {
      this.#endings.setShare(linkEndingsSchema.parse(await readJsonBody(context.req)).share);
      context.status = 204;
    });
    const app = new Koa();
    app.use(router.routes());
    return app;
  }
}
