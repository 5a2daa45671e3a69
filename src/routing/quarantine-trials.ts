/**
 * The one trial of a quarantined request. An innocent request that was beside a guilty one each time would else be refused for as long as the
 * quarantine lasts. One run of one router is named for it, so that a guilty request costs one upstream more and not one a router.
 */
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { Incarnation, MonotonicMillis } from '../model/identifiers.js';

/** Of a request that is quarantined. */
interface Trial {
  /** `null`: none here, or it was made. */
  dueAt: MonotonicMillis | null;
  isMade: boolean;
}

export class QuarantineTrials {
  readonly #self: Incarnation;
  readonly #trials = new Map<RequestFingerprint, Trial>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /**
   * What control holds of a suspect has changed; `true` if its quarantine begins with that. The trial is due some time after a router
   * learned of the quarantine; one that starts later isn't the one that is named.
   */
  suspectChanged(
    fingerprint: RequestFingerprint,
    record: CrashSuspect | null,
    now: MonotonicMillis,
  ): boolean {
    if (record === null || record.quarantinedAt === null) {
      this.#trials.delete(fingerprint);
      return false;
    }
    const known = this.#trials.get(fingerprint);
    const isNamed = record.trialBy === this.#self;
    if (known === undefined) {
      this.#trials.set(fingerprint, { dueAt: isNamed ? now + record.trialMillis : null, isMade: false });
      return true;
    }
    known.dueAt = isNamed ? known.dueAt : null;
    return false;
  }

  isDue(fingerprint: RequestFingerprint, now: MonotonicMillis): boolean {
    const dueAt = this.#trials.get(fingerprint)?.dueAt ?? null;
    return dueAt !== null && now >= dueAt;
  }

  /** The request is sent. */
  begin(fingerprint: RequestFingerprint): void {
    const trial = this.#trials.get(fingerprint);
    if (trial !== undefined) {
      trial.dueAt = null;
      trial.isMade = true;
    }
  }

  /** An attempt came to no upstream: if it was the trial, that is still due. */
  cameToNobody(fingerprint: RequestFingerprint | null, now: MonotonicMillis): void {
    const trial = fingerprint === null ? undefined : this.#trials.get(fingerprint);
    if (trial?.isMade) {
      trial.dueAt = now;
      trial.isMade = false;
    }
  }
}
