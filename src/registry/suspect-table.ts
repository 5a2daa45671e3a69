/** Requests during which upstreams crashed, bounded: the least suspected are evicted first. */
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { WallMillis } from '../model/identifiers.js';

export class SuspectTable {
  readonly #suspects = new Map<RequestFingerprint, CrashSuspect>();

  get size(): number {
    return this.#suspects.size;
  }

  find(fingerprint: RequestFingerprint): CrashSuspect | undefined {
    return this.#suspects.get(fingerprint);
  }

  put(fingerprint: RequestFingerprint, suspect: CrashSuspect | null): void {
    if (suspect === null) {
      this.#suspects.delete(fingerprint);
    } else {
      this.#suspects.set(fingerprint, suspect);
    }
  }

  all(): CrashSuspect[] {
    return [...this.#suspects.values()];
  }

  /** Returns the suspects that have expired. */
  expired(clock: WallMillis): CrashSuspect[] {
    return this.all().filter(({ until }) => until <= clock);
  }

  /** Returns the suspects to evict so that at most `maxCount` remain: least suspected first, then earliest expiry first. */
  excess(maxCount: number): CrashSuspect[] {
    const count = this.size - maxCount;
    return count <= 0 ? [] : this.all().sort(bySuspicion).slice(0, count);
  }
}

function bySuspicion(one: CrashSuspect, other: CrashSuspect): number {
  const byQuarantine = Number(one.quarantinedAt !== null) - Number(other.quarantinedAt !== null);
  return byQuarantine || one.crashes - other.crashes || one.until - other.until;
}
