/**
 * The single trial of a quarantined request. Without it, a harmless request that was in flight beside the harmful one at each crash
 * would be refused until the quarantine ends. Control assigns the trial to one run of one router, so that a harmful request ends one
 * more upstream, not one per router.
 */
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { Incarnation, MonotonicMillis } from '../model/identifiers.js';

/** Trial state of a quarantined request. */
interface Trial {
  /** `null`: the trial isn't assigned to this router, or it was already sent. */
  dueAt: MonotonicMillis | null;
  isSent: boolean;
}

export class QuarantineTrials {
  readonly #self: Incarnation;
  readonly #trials = new Map<RequestFingerprint, Trial>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /**
   * Applies a changed suspect record from control. Returns `true` if a quarantine begins with it. The trial is due `trialMillis` after
   * the assigned router received the quarantine; a later run of that router isn't assigned.
   */
  applySuspect(fingerprint: RequestFingerprint, record: CrashSuspect | null, now: MonotonicMillis): boolean {
    if (record === null || record.quarantinedAt === null) {
      this.#trials.delete(fingerprint);
      return false;
    }
    const trial = this.#trials.get(fingerprint);
    const isAssigned = record.trialBy === this.#self;
    if (trial === undefined) {
      this.#trials.set(fingerprint, { dueAt: isAssigned ? now + record.trialMillis : null, isSent: false });
      return true;
    }
    trial.dueAt = isAssigned ? trial.dueAt : null;
    return false;
  }

  isDue(fingerprint: RequestFingerprint, now: MonotonicMillis): boolean {
    const dueAt = this.#trials.get(fingerprint)?.dueAt ?? null;
    return dueAt !== null && now >= dueAt;
  }

  /** Records that the trial request is sent. */
  onSent(fingerprint: RequestFingerprint): void {
    const trial = this.#trials.get(fingerprint);
    if (trial !== undefined) {
      trial.dueAt = null;
      trial.isSent = true;
    }
  }

  /** Called when an attempt reached no upstream: if it was the trial, the trial is due again. */
  onUnsent(fingerprint: RequestFingerprint | null, now: MonotonicMillis): void {
    const trial = fingerprint === null ? undefined : this.#trials.get(fingerprint);
    if (trial?.isSent) {
      trial.dueAt = now;
      trial.isSent = false;
    }
  }
}
