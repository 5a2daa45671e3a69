/**
 * Opens the data folder of a member that starts by itself: makes a replica where there is none, and puts a new one in
 * the place of one that is damaged.
 *
 * The first members of a cluster name themselves after their addresses, so that all of them write the same membership
 * without a word to each other. Such a name is used once: only while the settings say that the cluster is new. A replica
 * that is made later has a name of its own and joins.
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

/** How a member that starts by itself comes to be. */
export interface SelfStart {
  readonly cluster: ClusterId;
  /** Own internal address. */
  readonly address: Address;
  /** Whether the cluster is new: its first members are those at `seeds`. */
  readonly bootstrap: boolean;
  /** Internal addresses of the first members. */
  readonly seeds: readonly Address[];
}

const FIRST_PREFIX = 'r-first-';

/** Opens the folder of a member, made if need be. */
export async function openOrCreateReplica(
  folder: string,
  start: SelfStart,
  options: ReplicaStoreOptions = {},
): Promise<OpenedStore> {
  const { files = DISK } = options;
  const names = (await files.list(folder)) ?? [];
  if (!names.includes(IDENTITY_FILE)) {
    await empty(files, folder);
    await create(folder, start, options);
  }
  try {
    return await openReplica(folder, start.cluster, options);
  } catch (thrown) {
    if (!(thrown instanceof StorageDamagedError)) {
      throw thrown;
    }
    return rejoin(folder, start, options);
  }
}

/** What is left of a replica can't be trusted: a new one takes its place. */
async function rejoin(folder: string, start: SelfStart, options: ReplicaStoreOptions): Promise<OpenedStore> {
  await empty(options.files ?? DISK, folder);
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

/** The replica that begins a cluster at an address. */
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

async function empty(files: FileSystem, folder: string): Promise<void> {
  for (const name of (await files.list(folder)) ?? []) {
    await files.remove(join(folder, name));
  }
}
