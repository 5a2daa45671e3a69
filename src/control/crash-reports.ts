/**
 * Proposes routers' reports of requests during which upstreams crashed, and releases suspects whose time is over. Any member accepts
 * reports, but only proposals of the leader take effect; routers repeat a report until it is in the configuration.
 */
import {
  type ClearedSuspect,
  DEFAULT_QUARANTINE_SETTINGS,
  type QuarantineSettings,
  type UpstreamCrash,
} from '../model/crash-suspect.js';
import type { MonotonicMillis, RouterId, WallMillis } from '../model/identifiers.js';
import type { AccusedRuns } from './accused-runs.js';
import type { CrashReport } from './messages.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';

/** How often the leader checks for suspects whose time is over. */
const SWEEP_INTERVAL_MILLIS = 1000;

export interface CrashReportsParts {
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly accused: AccusedRuns;
  /** The defaults if left out. */
  readonly terms?: QuarantineSettings | undefined;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

export class CrashReports {
  readonly #parts: CrashReportsParts;
  readonly #terms: QuarantineSettings;
  #sweepNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
    this.#terms = parts.terms ?? DEFAULT_QUARANTINE_SETTINGS;
  }

  /** Handles a report; `router` is `null` if this member has no name for its sender. */
  onReport(report: CrashReport, router: RouterId | null, now: MonotonicMillis): void {
    const { raft, propose } = this.#parts;
    const cleared = report.cleared.filter((suspect) => this.#isCurrentSuspect(suspect));
    if (cleared.length > 0) {
      this.#parts.log('suspects-succeeded', { router, isLeader: raft.isLeader(), cleared });
      propose({ type: 'suspects-clear', cleared }, () => {});
    }
    const crashes = report.crashes.filter((crash) => this.#isUnrecorded(crash));
    if (crashes.length > 0) {
      this.#parts.log('crashes-reported', { router, isLeader: raft.isLeader(), crashes });
      this.#examine(crashes, now);
    }
  }

  /** Proposals of other members have no effect, so only the leader asks. */
  #examine(crashes: readonly UpstreamCrash[], now: MonotonicMillis): void {
    const { raft, propose, accused } = this.#parts;
    if (raft.isLeader()) {
      accused.examine(crashes, now, (standing) =>
        propose({ type: 'crashes-note', crashes: standing, terms: this.#terms }, () => {}),
      );
    }
  }

  /** Releases suspects whose time is over. */
  run(now: MonotonicMillis, wall: WallMillis): void {
    const { raft, propose } = this.#parts;
    if (now < this.#sweepNotBefore || !raft.isLeader()) {
      return;
    }
    this.#sweepNotBefore = now + SWEEP_INTERVAL_MILLIS;
    if (raft.registry.suspects().some(({ until }) => until <= wall)) {
      propose({ type: 'suspects-expire', terms: this.#terms }, () => {});
    }
  }

  nextDeadline(): MonotonicMillis {
    const { raft } = this.#parts;
    const isIdle = !raft.isLeader() || raft.registry.suspectCount === 0;
    return isIdle ? Number.POSITIVE_INFINITY : this.#sweepNotBefore;
  }

  #isCurrentSuspect({ fingerprint, revision }: ClearedSuspect): boolean {
    const suspect = this.#parts.raft.registry.suspect(fingerprint);
    return suspect !== undefined && suspect.revision <= revision;
  }

  #isUnrecorded({ fingerprint, run }: UpstreamCrash): boolean {
    const suspect = this.#parts.raft.registry.suspect(fingerprint);
    return suspect === undefined || !suspect.runs.includes(run);
  }
}
