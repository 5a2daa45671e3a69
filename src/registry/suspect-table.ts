/** Requests under which upstreams ended, bounded: those least suspected are forgotten first. */
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

  /** Those whose time is over. */
  expired(clock: WallMillis): CrashSuspect[] {
    return this.all().filter(({ until }) => until <= clock);
  }

  /** Those beyond `most`, least suspected first, and of these the one whose time is over first. */
  excess(maxCount: number): CrashSuspect[] {
    const count = this.size - maxCount;
    return count <= 0 ? [] : this.all().sort(bySuspicion).slice(0, count);
  }
}

function bySuspicion(one: CrashSuspect, other: CrashSuspect): number {
  const byQuarantine = Number(one.quarantinedAt !== null) - Number(other.quarantinedAt !== null);
  return byQuarantine || one.crashes - other.crashes || one.until - other.until;
}
