/** Polls the platform's list of machines. The list lags, so the core uses it as a hint only. */
import { z } from 'zod';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';

/** Schema of the platform's list: ids of upstreams. */
export const platformListSchema = z.object({
  live: z.array(z.string()),
  leaving: z.array(z.string()),
});
export type PlatformList = z.infer<typeof platformListSchema>;

export interface PlatformPollOptions {
  readonly url: string;
  readonly intervalMillis: number;
  readonly log: Logger;
  readonly result: (list: PlatformList) => void;
}

export class PlatformPoll {
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: PlatformPollOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async run(): Promise<void> {
    try {
      // Loaded on first use, so that a router without a list starts faster.
      const { got } = await import('got');
      const body = await got(this.options.url, {
        timeout: { request: this.options.intervalMillis },
        retry: { limit: 0 },
      }).json();
      if (!this.stopped) {
        this.options.result(platformListSchema.parse(body));
      }
    } catch (thrown) {
      this.options.log.debug('platform-list-failed', { reason: toError(thrown) });
    }
    if (!this.stopped) {
      this.timer = setTimeout(() => this.run(), this.options.intervalMillis);
    }
  }
}
