/**
 * Opens the data folder of a member that starts without an operator's command: creates a replica if there is none, and
 * replaces a damaged one.
 *
 * The replica ids of a cluster's first members are derived from their addresses, so that all of them write the same
 * membership without communicating. Such an id is used only once, while the settings declare the cluster as new. A
 * replica that is created later gets a unique id and joins.
 */
import { join } from 'node:path';
import type { Membership } from '../consensus/types.js';
import type { Address, ClusterId, ReplicaId } from '../model/identifiers.js';
import { DISK, type FileSystem } from './file-system.js';
import {
  createReplica,
  createReplicaAs,
  type OpenedStore,
  openReplica,
  type ReplicaStoreOptions,
} from './replica-folder.js';
import { IDENTITY_FILE } from './replica-identity.js';
import { StorageDamagedError } from './storage-error.js';

/** Parameters of a member that starts without an operator's command. */
export interface SelfStart {
  readonly cluster: ClusterId;
  /** Internal address of this member. */
  readonly address: Address;
  /** Whether the cluster is new; its first members are the ones at `seeds`. */
  readonly bootstrap: boolean;
  /** Internal addresses of the first members. */
  readonly seeds: readonly Address[];
}

const FIRST_PREFIX = 'r-first-';

/** Opens the data folder of a member, and creates it if needed. */
export async function openOrCreateReplica(
  folder: string,
  start: SelfStart,
  options: ReplicaStoreOptions = {},
): Promise<OpenedStore> {
  const { files = DISK } = options;
  const names = (await files.list(folder)) ?? [];
  if (!names.includes(IDENTITY_FILE)) {
    await clearFolder(files, folder);
    await create(folder, start, options);
  }
  try {
    return await openReplica(folder, start.cluster, options);
  } catch (thrown) {
    if (!(thrown instanceof StorageDamagedError)) {
      throw thrown;
    }
    return replaceReplica(folder, start, options);
  }
}

/** Replaces a damaged replica by a new one, since none of its remaining data can be trusted. */
async function replaceReplica(
  folder: string,
  start: SelfStart,
  options: ReplicaStoreOptions,
): Promise<OpenedStore> {
  await clearFolder(options.files ?? DISK, folder);
  await createReplica(folder, { ...start, role: 'joining' }, options);
  return openReplica(folder, start.cluster, options);
}

async function create(folder: string, start: SelfStart, options: ReplicaStoreOptions): Promise<void> {
  const { cluster, address, bootstrap, seeds } = start;
  if (!bootstrap || !seeds.includes(address)) {
    await createReplica(folder, { cluster, address, role: 'joining' }, options);
    return;
  }
  const identity = {
    cluster,
    replica: firstReplicaAt(address),
    address,
    initialMembership: firstMembership(seeds),
  };
  await createReplicaAs(folder, identity, options);
}

/** Returns the id of an initial member, which is derived from its address so that all initial members use the same ids. */
export function firstReplicaAt(address: Address): ReplicaId {
  return FIRST_PREFIX + address.replaceAll(/[^0-9A-Za-z]/g, '-');
}

function firstMembership(seeds: readonly Address[]): Membership {
  const sorted = [...seeds].sort();
  return {
    voters: sorted.map(firstReplicaAt),
    outgoingVoters: [],
    learners: [],
    addresses: Object.fromEntries(sorted.map((seed) => [firstReplicaAt(seed), seed])),
  };
}

async function clearFolder(files: FileSystem, folder: string): Promise<void> {
  for (const name of (await files.list(folder)) ?? []) {
    await files.remove(join(folder, name));
  }
}
