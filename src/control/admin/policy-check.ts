/** Compiles a policy before it is proposed, so that a wrong one never reaches the log. */
import type { PolicyRule } from '../../model/service.js';
import { compilePolicy, formatDiagnostic, PolicyError } from '../../policy/index.js';

/** What is wrong with rules, one line each; places count within each expression. Empty: nothing. */
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
