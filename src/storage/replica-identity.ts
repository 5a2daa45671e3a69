/** Identity of a data folder: the replica it was created for, and its cluster. Written once and never changed. */
import { join } from 'node:path';
import { z } from 'zod';
import type { Membership } from '../consensus/types.js';
import { toError } from '../errors/ternmount-error.js';
import type { Address, ClusterId, ReplicaId } from '../model/identifiers.js';
import type { FileSystem } from './file-system.js';
import { replaceFile } from './replace-file.js';
import { StorageDamagedError } from './storage-error.js';

export const IDENTITY_FILE = 'identity.json';
const FORMAT = 1;
const JSON_INDENT = 2;

/** Contents of the identity file. */
export interface ReplicaIdentity {
  readonly cluster: ClusterId;
  readonly replica: ReplicaId;
  /** Internal address that was advertised when the folder was created. */
  readonly address: Address;
  /** Membership at the start of the log; `null`: the replica joins an existing cluster. */
  readonly initialMembership: Membership | null;
}

const membershipSchema = z.strictObject({
  voters: z.array(z.string()),
  outgoingVoters: z.array(z.string()),
  learners: z.array(z.string()),
  addresses: z.record(z.string(), z.string()),
});

const identitySchema = z.strictObject({
  format: z.literal(FORMAT),
  cluster: z.string(),
  replica: z.string(),
  address: z.string(),
  initialMembership: membershipSchema.nullable(),
});

/** Writes the identity; from then on the folder belongs to that replica. */
export async function writeIdentity(
  files: FileSystem,
  folder: string,
  identity: ReplicaIdentity,
): Promise<void> {
  const text = `${JSON.stringify({ format: FORMAT, ...identity }, null, JSON_INDENT)}\n`;
  await replaceFile(files, join(folder, IDENTITY_FILE), [Buffer.from(text)]);
}

/** Reads the identity. Throws `StorageDamagedError`. */
export async function readIdentity(files: FileSystem, folder: string): Promise<ReplicaIdentity> {
  const path = join(folder, IDENTITY_FILE);
  const bytes = await files.read(path);
  try {
    const { format, ...identity } = identitySchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
    return identity;
  } catch (thrown) {
    throw new StorageDamagedError(path, "isn't a valid identity file", toError(thrown));
  }
}
