/** Errors of policy programs, with the place of each fault. */
import { TernmountError } from '../errors/ternmount-error.js';

/** A place in a file or, without one, in the expression itself; both counted from 1. */
export interface PolicyPosition {
  readonly line: number;
  readonly column: number;
}

/** One fault of a program. */
export interface PolicyDiagnostic extends PolicyPosition {
  /** Name of the rule; `null` if the fault is outside any. */
  readonly rule: string | null;
  /** Which part of the rule, e.g. `when`. */
  readonly field: string | null;
  readonly message: string;
}

/** A program was refused; it has at least one diagnostic. */
export class PolicyError extends TernmountError {
  readonly diagnostics: readonly PolicyDiagnostic[];

  constructor(diagnostics: readonly PolicyDiagnostic[]) {
    super(
      { code: 'TERNMOUNT_POLICY_INVALID', retriable: false, info: { diagnostics } },
      diagnostics.map(formatDiagnostic).join('\n'),
    );
    this.diagnostics = diagnostics;
  }
}

/** `line:column: rule "name": field: message`. */
export function formatDiagnostic(diagnostic: PolicyDiagnostic): string {
  const rule = diagnostic.rule === null ? '' : `rule "${diagnostic.rule}": `;
  const field = diagnostic.field === null ? '' : `${diagnostic.field}: `;
  return `${diagnostic.line}:${diagnostic.column}: ${rule}${field}${diagnostic.message}`;
}
