/** Checks a history against all rules, event by event. It shares no code with the system under test. */
import { AnswerRule } from './answer-rule.js';
import { BackoffRule } from './backoff-rule.js';
import { ChangeRule } from './change-rule.js';
import { ConfigurationRule } from './configuration-rule.js';
import { CrashRule } from './crash-rule.js';
import { DrainNoticeRule } from './drain-notice-rule.js';
import { EvacuationRule } from './evacuation-rule.js';
import { ExecutionRule } from './execution-rule.js';
import type { HistoryEvent } from './history.js';
import { InnocenceRule } from './innocence-rule.js';
import { LimitRule } from './limit-rule.js';
import { LogRule } from './log-rule.js';
import { OwnershipRule } from './ownership-rule.js';
import { RecoveryRule } from './recovery-rule.js';
import type { Rule, Violation } from './rule.js';

export class Checker {
  private readonly rules: readonly Rule[] = [
    new OwnershipRule(),
    new LogRule(),
    new ChangeRule(),
    new ConfigurationRule(),
    new EvacuationRule(),
    new ExecutionRule(),
    new AnswerRule(),
    new RecoveryRule(),
    new CrashRule(),
    new InnocenceRule(),
    new LimitRule(),
    new BackoffRule(),
    new DrainNoticeRule(),
  ];
  private readonly allViolations: Violation[] = [];

  /** All violations so far, oldest first. */
  get violations(): readonly Violation[] {
    return this.allViolations;
  }

  /** Checks the next event and returns the violations that it reveals. */
  check(event: HistoryEvent): readonly Violation[] {
    const before = this.allViolations.length;
    for (const rule of this.rules) {
      this.allViolations.push(...rule.check(event));
    }
    return this.allViolations.slice(before);
  }

  /** Ends the history at this true time and returns all violations. */
  finish(at: number): readonly Violation[] {
    for (const rule of this.rules) {
      this.allViolations.push(...rule.finish(at));
    }
    return this.allViolations;
  }
}
