/** A process of stand-in upstreams, with an HTTP endpoint that sets faults: `PUT /upstreams/<id>/faults`. */
import Router from '@koa/router';
import Koa from 'koa';
import { readSecret } from '../../../security/secret-file.js';
import { JournalWriter } from '../../journal/journal-writer.js';
import { listenHttp, type RunningServer } from '../http-endpoint.js';
import { readJsonBody } from '../json-body.js';
import { StandinRandomSource } from '../random-source.js';
import { faultSchema } from './fault-switchboard.js';
import type { UpstreamProcessSettings } from './upstream-settings.js';
import { UpstreamStandin } from './upstream-standin.js';

const NO_CONTENT = 204;
const NOT_FOUND = 404;

export class UpstreamProcess {
  readonly #settings: UpstreamProcessSettings;
  readonly #journal: JournalWriter;
  readonly #standins: ReadonlyMap<string, UpstreamStandin>;
  #control: RunningServer | undefined;

  constructor(settings: UpstreamProcessSettings) {
    this.#settings = settings;
    this.#journal = new JournalWriter(settings.journal);
    const secret = readSecret(settings.secretFile ?? null);
    this.#standins = new Map(
      settings.upstreams.map((upstream, index) => {
        const random = new StandinRandomSource(settings.seed + index);
        const process = { name: settings.name, cluster: settings.cluster, secret };
        return [upstream.id, new UpstreamStandin(upstream, process, this.#journal, random)];
      }),
    );
  }

  async start(): Promise<void> {
    await Promise.all([...this.#standins.values()].map((standin) => standin.start()));
    this.#control = await listenHttp(this.#controlApp().callback(), this.#settings.control);
  }

  /** Shuts down all upstreams of the process gracefully. */
  async stop(): Promise<void> {
    await Promise.all([...this.#standins.values()].map((standin) => standin.stop()));
    await this.#control?.close();
    this.#journal.close();
  }

  #controlApp(): Koa {
    const router = new Router();
    router.put('/upstreams/:id/faults', async (context) => {
      const standin = this.#standins.get(context.params.id as string);
      if (!standin) {
        context.status = NOT_FOUND;
        return;
      }
      standin.faults.set(faultSchema.parse(await readJsonBody(context.req)));
      context.status = NO_CONTENT;
    });
    const app = new Koa();
    app.use(router.routes());
    return app;
  }
}
