/** Marks upstreams as withdrawn when routers report that they are draining, so that their keys move and all routers are notified. */
import type { RunName } from '../../model/crash-suspect.js';
import { announcedRun } from '../../model/service.js';
import type { ReportedUpstream } from '../../model/upstream-notice.js';
import type { Registry } from '../../registry/types.js';
import type { ProposeCommand } from '../propose-command.js';

export interface DrainingUpstreamsParts {
  readonly registry: () => Registry;
  readonly propose: ProposeCommand;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

export class DrainingUpstreams {
  readonly #parts: DrainingUpstreamsParts;
  /** Runs whose withdrawal is proposed and not yet applied or rejected. */
  readonly #proposed = new Set<RunName>();

  constructor(parts: DrainingUpstreamsParts) {
    this.#parts = parts;
  }

  /** Records a router's report. Reports about any run but the one in the registry are ignored. */
  recordReport({ upstream, run, isLeaving }: ReportedUpstream, router: string | null): void {
    const { registry, propose } = this.#parts;
    const definition = registry().upstreams().get(upstream)?.definition;
    const isCurrentRun = definition?.announced !== undefined && announcedRun(definition) === run;
    if (!isLeaving || !isCurrentRun || definition.leaving || this.#proposed.has(run)) {
      return;
    }
    this.#parts.log('upstream-leaving-reported', { upstream, run, router });
    this.#proposed.add(run);
    const { born } = definition.announced;
    const command = { type: 'upstream-withdraw', upstream, ...(born !== undefined && { born }) } as const;
    propose(command, () => this.#proposed.delete(run));
  }
}
