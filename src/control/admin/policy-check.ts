/** Compiles a policy before it is proposed, so that an invalid one never reaches the replicated log. */
import type { PolicyRule } from '../../model/service.js';
import { compilePolicy, formatDiagnostic, PolicyError } from '../../policy/index.js';

/** Returns the faults of rules, one line each, with positions relative to the expression; empty if there are none. */
export function findPolicyFaults(rules: readonly PolicyRule[]): readonly string[] {
  try {
    compilePolicy(rules);
    return [];
  } catch (thrown) {
    if (thrown instanceof PolicyError) {
      return thrown.diagnostics.map(formatDiagnostic);
    }
    throw thrown;
  }
}
