/** Policy programs: YAML rules with CEL expressions that weigh upstreams, and refuse or hold requests. */
export type { PolicyContext, PolicyUpstream } from './policy-context.js';
export { EXPRESSION_LIMITS, PROGRAM_LIMITS } from './policy-context.js';
export {
  formatDiagnostic,
  type PolicyDiagnostic,
  PolicyError,
  type PolicyPosition,
} from './policy-error.js';
export {
  compilePolicy,
  type ExpressionField,
  type PolicyDecision,
  type PolicyProgram,
  type PolicySource,
} from './policy-program.js';
export { PolicyTraceError, type PolicyTraceRecord, parsePolicyTrace } from './policy-trace.js';
export { type PolicyTrial, type RuleCount, type TriedRecord, tryPolicy } from './policy-trial.js';
