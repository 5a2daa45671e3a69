/** Errors of policy programs, with the position of each fault. */
import { TernmountError } from '../errors/ternmount-error.js';

/** A position in a file or, without a file, in the expression; line and column start at 1. */
export interface PolicyPosition {
  readonly line: number;
  readonly column: number;
}

/** One fault of a program. */
export interface PolicyDiagnostic extends PolicyPosition {
  /** Name of the rule; `null` if the fault is outside all rules. */
  readonly rule: string | null;
  /** Field of the rule, e.g. `when`. */
  readonly field: string | null;
  readonly message: string;
}

/** Thrown for an invalid program, with at least one diagnostic. */
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

/** Formats a diagnostic as `line:column: rule "name": field: message`. */
export function formatDiagnostic(diagnostic: PolicyDiagnostic): string {
  const rule = diagnostic.rule === null ? '' : `rule "${diagnostic.rule}": `;
  const field = diagnostic.field === null ? '' : `${diagnostic.field}: `;
  return `${diagnostic.line}:${diagnostic.column}: ${rule}${field}${diagnostic.message}`;
}
