/**
 * Results of operators' commands by request id, so that a resent command gets the first result and changes nothing.
 *
 * Retention: an entry is removed when it is older than `DEDUP_RETENTION_MILLIS` by the registry's clock, or when
 * `DEDUP_MAX_ENTRIES` later entries exist. A resend after that is a new command, which is checked by its `expected`
 * revision. Both bounds depend only on the log, so every replica removes the same entries.
 */
import { createHash } from 'node:crypto';
import type { WallMillis } from '../model/identifiers.js';
import { canonicalJson } from './canonical-json.js';
import type { Command, CommandResult } from './types.js';

/** How long a result is kept, by the registry's clock. */
export const DEDUP_RETENTION_MILLIS = 24 * 60 * 60 * 1000;

export const DEDUP_MAX_ENTRIES = 10_000;
/** In characters. */
export const MAX_REQUEST_ID_LENGTH = 200;

/** The result of one operator's command. */
export interface DedupEntry {
  readonly requestId: string;
  /** SHA-256 of the command, base64. */
  readonly fingerprint: string;
  readonly at: WallMillis;
  readonly result: CommandResult;
}

/**
 * Returns a hash of the content of a command without its precondition `expected`: an operator who never received the response
 * resends the change with the revision read by then, which differs once the change has been made.
 */
export function fingerprintOf(command: Command): string {
  const { expected: _, ...content } = command as Command & { readonly expected?: unknown };
  return createHash('sha256').update(canonicalJson(content)).digest('base64');
}

export class DedupTable {
  /** In log order. */
  private readonly entries = new Map<string, DedupEntry>();

  constructor(
    entries: readonly DedupEntry[] = [],
    private readonly limit = DEDUP_MAX_ENTRIES,
  ) {
    for (const entry of entries) {
      this.entries.set(entry.requestId, entry);
    }
  }

  get size(): number {
    return this.entries.size;
  }

  find(requestId: string): DedupEntry | undefined {
    return this.entries.get(requestId);
  }

  add(entry: DedupEntry): void {
    this.entries.set(entry.requestId, entry);
    for (const [requestId] of this.entries) {
      if (this.entries.size <= this.limit) {
        return;
      }
      this.entries.delete(requestId);
    }
  }

  /** Removes expired entries. `clock` never goes back, so the entries are in order of age. */
  expire(clock: WallMillis): void {
    for (const [requestId, entry] of this.entries) {
      if (entry.at > clock - DEDUP_RETENTION_MILLIS) {
        return;
      }
      this.entries.delete(requestId);
    }
  }

  list(): DedupEntry[] {
    return [...this.entries.values()];
  }
}
