/** Evaluates a program on a recorded trace. Each record is independent: the effects of a decision on later records aren't modelled. */
import type { PolicyUpstream } from './policy-context.js';
import type { PolicyDecision, PolicyProgram } from './policy-program.js';
import type { PolicyTraceRecord } from './policy-trace.js';

/** Result of the program for one record. */
export interface TriedRecord {
  readonly record: PolicyTraceRecord;
  readonly decision: PolicyDecision;
  /** Upstream with the lowest weighted cost; `null` without upstreams or without `weigh` rules. */
  readonly preferred: string | null;
  /** Upstream with the lowest cost without weights; `null` as for `preferred`. */
  readonly preferredUnweighed: string | null;
}

/** Number of records that a rule decided. */
export interface RuleCount {
  readonly rule: string;
  readonly action: 'refuse' | 'hold';
  readonly records: number;
}

/** Result of a program for a trace. */
export interface PolicyTrial {
  readonly tried: readonly TriedRecord[];
  readonly passed: number;
  readonly byRule: readonly RuleCount[];
  /** Records whose recorded decision is different. */
  readonly changed: number;
  /** Records for which the weights change the preferred upstream. */
  readonly preferredChanged: number;
  /** Number of runtime errors by rule; a rule that fails doesn't match. */
  readonly errors: ReadonlyMap<string, number>;
}

/** Evaluates a program on each record independently. */
export function tryPolicy(program: PolicyProgram, records: readonly PolicyTraceRecord[]): PolicyTrial {
  const tried = records.map((record) => tryRecord(program, record));
  return {
    tried,
    passed: tried.filter(({ decision }) => decision.type === 'pass').length,
    byRule: countRules(tried),
    changed: tried.filter(({ record, decision }) => record.decision !== decision.type).length,
    preferredChanged: tried.filter((result) => result.preferred !== result.preferredUnweighed).length,
    errors: program.errorCounts(),
  };
}

function tryRecord(program: PolicyProgram, record: PolicyTraceRecord): TriedRecord {
  const decision = program.decide(record.context);
  if (!program.hasWeighRules) {
    return { record, decision, preferred: null, preferredUnweighed: null };
  }
  const preferred = findCheapestUpstream(record.upstreams, program.weigher(record.context));
  return { record, decision, preferred, preferredUnweighed: findCheapestUpstream(record.upstreams, () => 1) };
}

/** Returns the upstream with the lowest cost of the picker, without slow start: outstanding requests * service time * weight. */
function findCheapestUpstream(
  upstreams: readonly PolicyUpstream[],
  weigh: (upstream: PolicyUpstream) => number,
): string | null {
  let best: string | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const upstream of upstreams) {
    const cost = (upstream.inFlight + 1 + upstream.load) * upstream.serviceMillis * weigh(upstream);
    if (cost < bestCost) {
      best = upstream.id;
      bestCost = cost;
    }
  }
  return best;
}

function countRules(tried: readonly TriedRecord[]): RuleCount[] {
  const counts = new Map<string, RuleCount>();
  for (const { decision } of tried) {
    if (decision.type !== 'pass') {
      const { rule, type: action } = decision;
      counts.set(rule, { rule, action, records: (counts.get(rule)?.records ?? 0) + 1 });
    }
  }
  return [...counts.values()];
}
