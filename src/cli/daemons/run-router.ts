/** Implements `router run`. */
import { enableLogs, setProcessIdentity } from '../../logging/logger.js';
import type { HeaderNames } from '../../model/header-names.js';
import { RouterDaemon } from '../../router/router-daemon.js';
import type { RouterDaemonSettings } from '../../router/settings.js';
import { DEFAULT_ROUTER_LIMITS, DEFAULT_ROUTER_TIMINGS } from '../../router/settings.js';
import { createRouterNode } from '../../routing/index.js';
import { readSecret } from '../../security/secret-file.js';
import { loadRouterSettings, type RouterSettings } from '../../settings/router-settings.js';
import type { Invocation } from '../command-spec.js';
import type { ExitCode } from '../exit-codes.js';
import { type PreparedDaemon, runDaemon } from '../run-daemon.js';
import { settingsLayers } from '../settings-options.js';
import { logEnd } from './log-end.js';
import { loadPatiently } from './patient-load.js';
import { SettingsWatch } from './settings-watch.js';
import { waitForAddress } from './wait-for-address.js';

function daemonSettings(settings: RouterSettings): RouterDaemonSettings {
  const { cluster, router, zone, listen, admin, control, platformUrl, configLease } = settings;
  return {
    cluster,
    router,
    zone,
    listen,
    outgoing: settings.outgoing ?? undefined,
    admin,
    relay: settings.relay ?? undefined,
    regions: settings.regions,
    control,
    secret: readSecret(settings.secretFile),
    platformUrl,
    probePath: settings.probePath,
    byRoutes: settings.byRoutes,
    headers: definedOnly(settings.headers),
    retryAfterUnit: settings.retryAfterUnit,
    whenOutOfTouch: settings.whenOutOfTouch,
    warmup: settings.warmup,
    roomByRank: settings.roomByRank,
    returnTimes: settings.returnTimes,
    linkMegabits: settings.linkMegabits,
    limits: {
      ...DEFAULT_ROUTER_LIMITS,
      maxBodyBytes: settings.requestBodyBytes,
      connectionsPerUpstream: settings.connectionsPerUpstream,
      requestsPerConnection: settings.requestsPerConnection,
      heldBytesPerConnection: settings.heldBytesPerConnection,
      heldAnswerBytes: settings.heldAnswerBytes,
    },
    timings: {
      ...DEFAULT_ROUTER_TIMINGS,
      configLease,
      claimMillis: settings.claimTimeoutMillis,
      probeMillis: settings.probeIntervalMillis,
      platformMillis: settings.platformIntervalMillis,
      lameDuckMillis: settings.lameDuckMillis,
      stopGraceMillis: settings.stopGraceMillis,
      firstConfigurationMillis: settings.firstConfigurationMillis,
    },
  };
}

/** Returns the configured header names; omitted ones keep their defaults. */
function definedOnly(headers: RouterSettings['headers']): Partial<HeaderNames> {
  const defined = Object.entries(headers).filter(([, name]) => name !== undefined);
  return Object.fromEntries(defined);
}

/** Returns when the router has stopped. */
export function runRouter(invocation: Invocation): Promise<ExitCode> {
  return logEnd(invocation.io, () => runDaemon(invocation.io, () => prepare(invocation)));
}

/** Validates the settings before opening a port. */
async function prepare(invocation: Invocation): Promise<PreparedDaemon> {
  const layers = settingsLayers(invocation);
  const load = () => {
    const settings = loadRouterSettings(layers);
    return { settings, daemon: daemonSettings(settings) };
  };
  const loaded = await loadPatiently(layers.file, load, invocation.io);
  const { settings, daemon } = loaded.settings;
  enableLogs(settings.log);
  setProcessIdentity({ process: settings.router, zone: settings.zone });
  for (const address of [settings.listen, settings.admin, settings.relay]) {
    if (address !== null) {
      await waitForAddress(address, invocation.io);
    }
  }
  const router = new RouterDaemon(daemon, createRouterNode, 'koa');
  const reload = (): void => router.setControlMembers(loadRouterSettings(layers).control);
  const watch = new SettingsWatch({ io: invocation.io, file: layers.file, version: loaded.version, reload });
  return { daemon: router, close: () => watch.stop() };
}
