/** `ternmount-dev standin upstream|caller|platform|link --settings FILE`. */
import { readFileSync } from 'node:fs';
import type { CAC } from 'cac';
import { parse } from 'yaml';
import { TernmountError } from '../../errors/ternmount-error.js';
import { callerSettingsSchema } from '../standins/caller/caller-settings.js';
import { CallerStandin } from '../standins/caller/caller-standin.js';
import { linkSettingsSchema } from '../standins/link/link-settings.js';
import { LinkStandin } from '../standins/link/link-standin.js';
import { PlatformStandin, platformSettingsSchema } from '../standins/platform/platform-standin.js';
import { UpstreamProcess } from '../standins/upstream/upstream-process.js';
import { upstreamProcessSettingsSchema } from '../standins/upstream/upstream-settings.js';
import type { DevCommand } from './dev-command.js';

/** There is no stand-in of this kind. */
class UnknownStandinError extends TernmountError {
  constructor(kind: string) {
    const message = `unknown stand-in ${kind}: expected upstream, caller, platform or link`;
    super({ code: 'TERNMOUNT_UNKNOWN_STANDIN', retriable: false }, message);
  }
}

/** A server that runs until it is stopped. */
interface Standin {
  start(): Promise<unknown>;
  stop(): Promise<void>;
}

/** Runs `action` at the first SIGTERM or SIGINT; later ones are ignored. */
function onStopSignal(action: () => void): void {
  let stopping = false;
  const stop = (): void => {
    if (!stopping) {
      stopping = true;
      action();
    }
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function serve(standin: Standin): Promise<void> {
  onStopSignal(() => void standin.stop().then(() => process.exit(0)));
  await standin.start();
}

async function runCaller(settings: unknown): Promise<void> {
  const caller = new CallerStandin(callerSettingsSchema.parse(settings));
  onStopSignal(() => caller.stop());
  await caller.serve();
  process.exit(0);
}

async function runStandin(kind: string, settings: unknown): Promise<void> {
  switch (kind) {
    case 'upstream':
      return serve(new UpstreamProcess(upstreamProcessSettingsSchema.parse(settings)));
    case 'platform':
      return serve(new PlatformStandin(platformSettingsSchema.parse(settings)));
    case 'link':
      return serve(new LinkStandin(linkSettingsSchema.parse(settings)));
    case 'caller':
      return runCaller(settings);
    default:
      throw new UnknownStandinError(kind);
  }
}

export const command: DevCommand = {
  register(cli: CAC): void {
    cli
      .command('standin <kind>', 'Run a stand-in: upstream, caller, platform or link')
      .option('--settings <file>', 'Settings file (YAML or JSON)')
      .action(async (kind: string, options: { settings: string }) => {
        await runStandin(kind, parse(readFileSync(options.settings, 'utf8')));
      });
  },
};
