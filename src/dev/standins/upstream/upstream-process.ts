/** A process of stand-in upstreams, with an HTTP endpoint that sets faults: `PUT /upstreams/<id>/faults`. */
import Router from '@koa/router';
import Koa from 'koa';
import { readSecret } from '../../../security/secret-file.js';
import { JournalWriter } from '../../journal/journal-writer.js';
import { listenHttp, type RunningServer } from '../http-endpoint.js';
import { readJsonBody } from '../json-body.js';
import { StandinRandomSource } from '../random-source.js';
import { AnnouncedStandin } from './announced-standin.js';
import { faultSchema } from './fault-switchboard.js';
import type { Standin } from './standin.js';
import type { UpstreamProcessSettings, UpstreamSettings } from './upstream-settings.js';
import { UpstreamStandin } from './upstream-standin.js';

const NO_CONTENT = 204;
const NOT_FOUND = 404;

export class UpstreamProcess {
  readonly #settings: UpstreamProcessSettings;
  readonly #journal: JournalWriter;
  readonly #standins: ReadonlyMap<string, Standin>;
  #control: RunningServer | undefined;

  constructor(settings: UpstreamProcessSettings) {
    this.#settings = settings;
    this.#journal = new JournalWriter(settings.journal);
    this.#standins = new Map(
      settings.upstreams.map((upstream, index) => [upstream.id, this.#createStandin(upstream, index)]),
    );
  }

  #createStandin(upstream: UpstreamSettings, index: number): Standin {
    const { name, cluster, seed, secretFile, announceTo } = this.#settings;
    const random = new StandinRandomSource(seed + index);
    if (announceTo !== undefined) {
      return new AnnouncedStandin({ upstream, control: announceTo, process: name }, this.#journal, random);
    }
    const process = { name, cluster, secret: readSecret(secretFile ?? null) };
    return new UpstreamStandin(upstream, process, this.#journal, random);
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
