/**
 * A stand-in for the platform's list of machines: `GET /machines` returns the state of `lagMillis` ago.
 * `PUT /machines/<id>` with `{"state": "live" | "leaving" | "gone"}` sets the current state; with `"listed": true` the list
 * shows it at once, whether or not it is true.
 */
import Router from '@koa/router';
import Koa from 'koa';
import { z } from 'zod';
import { machineMillis } from '../../journal/machine-clock.js';
import { listenHttp, type RunningServer } from '../http-endpoint.js';
import { readJsonBody } from '../json-body.js';

export const platformSettingsSchema = z.strictObject({
  /** `host:port` to listen on. */
  listen: z.string().min(1),
  lagMillis: z.number().min(0),
  /** Machines that are live at the start. */
  machines: z.array(z.string()),
});
export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

const machineStateSchema = z.strictObject({
  state: z.enum(['live', 'leaving', 'gone']),
  /** Whether the list shows the state at once, without the lag. */
  listed: z.boolean().default(false),
});
export type MachineState = z.infer<typeof machineStateSchema>['state'];

/** Response body of `GET /machines`. */
export interface MachineList {
  readonly live: readonly string[];
  readonly leaving: readonly string[];
}

interface MachineChange {
  readonly at: number;
  readonly machine: string;
  readonly state: MachineState;
}

export class PlatformStandin {
  readonly #settings: PlatformSettings;
  readonly #changes: MachineChange[] = [];
  #server: RunningServer | undefined;

  constructor(settings: PlatformSettings) {
    this.#settings = settings;
  }

  async start(): Promise<string> {
    this.#server = await listenHttp(this.#app().callback(), this.#settings.listen);
    return this.#server.address;
  }

  async stop(): Promise<void> {
    await this.#server?.close();
  }

  /** Returns the list as of `lagMillis` before `now`. */
  list(now: number): MachineList {
    const states = new Map<string, MachineState>(this.#settings.machines.map((machine) => [machine, 'live']));
    for (const change of this.#changes) {
      if (change.at <= now - this.#settings.lagMillis) {
        states.set(change.machine, change.state);
      }
    }
    const inState = (state: MachineState): string[] =>
      [...states].filter(([, value]) => value === state).map(([machine]) => machine);
    return { live: inState('live'), leaving: inState('leaving') };
  }

  change(machine: string, state: MachineState, now: number): void {
    this.#changes.push({ at: now, machine, state });
  }

  #app(): Koa {
    const router = new Router();
    router.get('/machines', (context) => {
      context.body = this.list(machineMillis());
    });
    router.put('/machines/:machine', async (context) => {
      const { state, listed } = machineStateSchema.parse(await readJsonBody(context.req));
      const lag = listed ? this.#settings.lagMillis : 0;
      this.change(context.params.machine as string, state, machineMillis() - lag);
      context.status = 204;
    });
    const app = new Koa();
    app.use(router.routes());
    return app;
  }
}
