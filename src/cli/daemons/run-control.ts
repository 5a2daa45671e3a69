/** Implements `control run`. */
import { createAdminApp } from '../../control/admin/index.js';
import { createControlNode } from '../../control/control-node.js';
import { ControlDaemon } from '../../control/daemon/control-daemon.js';
import { type ControlDaemonSettings, DEFAULT_CONTROL_TIMINGS } from '../../control/daemon/settings.js';
import { createLogger, enableLogs, setProcessIdentity } from '../../logging/logger.js';
import type { Address } from '../../model/identifiers.js';
import { readSecret } from '../../security/secret-file.js';
import { TokenFile } from '../../security/token-file.js';
import { type ControlSettings, loadControlSettings } from '../../settings/control-settings.js';
import {
  DISK,
  DiskFullRetry,
  type FileSystem,
  type OpenedStore,
  openOrCreateReplica,
  openReplica,
} from '../../storage/index.js';
import type { Invocation } from '../command-spec.js';
import type { ExitCode } from '../exit-codes.js';
import { type PreparedDaemon, runDaemon } from '../run-daemon.js';
import { settingsLayers } from '../settings-options.js';
import { logEnd } from './log-end.js';
import { loadPatiently } from './patient-load.js';
import { SettingsWatch } from './settings-watch.js';
import { waitForAddress } from './wait-for-address.js';

function daemonSettings(settings: ControlSettings): ControlDaemonSettings {
  const { cluster, zone, dataFolder, listen, admin, raft, lease, configLease } = settings;
  const { snapshotEntries, replaceAfterMillis } = settings;
  const tokens = settings.tokensFile === null ? null : new TokenFile(settings.tokensFile);
  return {
    cluster,
    zone,
    zones: settings.zones,
    dataFolder,
    listen,
    advertise: settings.advertise,
    peers: peersOf(settings),
    outgoing: settings.outgoing ?? undefined,
    admin,
    secret: readSecret(settings.secretFile),
    holders: settings.holders,
    timings: {
      ...DEFAULT_CONTROL_TIMINGS,
      raft,
      lease,
      configLease,
      snapshotEntries,
      replaceAfterMillis,
      ranges: settings.ranges,
      quarantine: settings.quarantine,
      mostVoters: settings.toleratedLosses * 2 + 1,
    },
    createAdminApp: (daemon) => createAdminApp((request) => daemon.operate(request), { tokens }),
  };
}

/** A no-op lock, for a folder that only one process can access. */
const NO_LOCK = { release: (): void => {} };

/** Returns the members that a replica which isn't in the cluster yet contacts in order to join. */
function peersOf({ peers, selfStart, advertise }: ControlSettings): Address[] {
  return [...peers, ...(selfStart?.seeds ?? [])].filter((peer) => peer !== advertise);
}

function openFolder(settings: ControlSettings, files: FileSystem): Promise<OpenedStore> {
  const { dataFolder, cluster, advertise, selfStart } = settings;
  const options = settings.lockFolder ? { files } : { files, lock: () => NO_LOCK };
  return selfStart === null
    ? openReplica(dataFolder, cluster, options)
    : openOrCreateReplica(dataFolder, { cluster, address: advertise, ...selfStart }, options);
}

/** Returns when the member has stopped. */
export function runControl(invocation: Invocation): Promise<ExitCode> {
  return logEnd(invocation.io, () => runDaemon(invocation.io, () => prepare(invocation)));
}

/** Validates settings and ports before touching the data folder. */
async function prepare(invocation: Invocation): Promise<PreparedDaemon> {
  const layers = settingsLayers(invocation);
  const load = () => {
    const settings = loadControlSettings(layers);
    return { settings, daemon: daemonSettings(settings) };
  };
  const loaded = await loadPatiently(layers.file, load, invocation.io);
  const { settings, daemon } = loaded.settings;
  await waitForAddress(settings.listen, invocation.io);
  await waitForAddress(settings.admin, invocation.io);
  const log = createLogger('storage');
  const waits = new DiskFullRetry({
    onDiskFull: (error) => log.warn('disk-full', { error }),
    onSpaceAvailable: (waitedMillis) => log.info('disk-has-room', { waitedMillis }),
  });
  const { identity, restored, store } = await openFolder(settings, waits.wrap(DISK));
  const { replica } = identity;
  enableLogs(settings.log);
  setProcessIdentity({ process: settings.replicaName ?? replica, zone: settings.zone });
  const opened = { replica, restored, files: store, stopWaiting: () => waits.stop() };
  const member = new ControlDaemon(daemon, opened, createControlNode);
  const reload = (): void => member.setPeers(peersOf(loadControlSettings(layers)));
  const watch = new SettingsWatch({ io: invocation.io, file: layers.file, version: loaded.version, reload });
  return { daemon: member, close: () => watch.stop() };
}
