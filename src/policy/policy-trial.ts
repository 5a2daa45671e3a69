/** Tries a program on a recorded trace. Each record stands for itself: nothing that a decision would change is modelled. */
import type { PolicyUpstream } from './policy-context.js';
import type { PolicyDecision, PolicyProgram } from './policy-program.js';
import type { PolicyTraceRecord } from './policy-trace.js';

/** What the program would have done with one record. */
export interface TriedRecord {
  readonly record: PolicyTraceRecord;
  readonly decision: PolicyDecision;
  /** Upstream with the least cost as the program weighs it; `null` without upstreams or without `weigh` rules. */
  readonly preferred: string | null;
  /** The same without weighing. */
  readonly preferredUnweighed: string | null;
}

/** How often a rule decided. */
export interface RuleCount {
  readonly rule: string;
  readonly action: 'refuse' | 'hold';
  readonly records: number;
}

/** What a program would have done with a trace. */
export interface PolicyTrial {
  readonly tried: readonly TriedRecord[];
  readonly passed: number;
  readonly byRule: readonly RuleCount[];
  /** Records that the recorded policy decided otherwise. */
  readonly changed: number;
  /** Records for which weighing prefers another upstream. */
  readonly preferredChanged: number;
  /** Runtime errors by rule; such a rule counts as no match. */
  readonly errors: ReadonlyMap<string, number>;
}

/** Decides on each record by itself. */
export function tryPolicy(program: PolicyProgram, records: readonly PolicyTraceRecord[]): PolicyTrial {
  const tried = records.map((record) => tryRecord(program, record));
  return {
    tried,
    passed: tried.filter(({ decision }) => decision.type === 'pass').length,
    byRule: countRules(tried),
    changed: tried.filter(({ record, decision }) => record.decision !== decision.type).length,
    preferredChanged: tried.filter((one) => one.preferred !== one.preferredUnweighed).length,
    errors: program.errorCounts(),
  };
}

function tryRecord(program: PolicyProgram, record: PolicyTraceRecord): TriedRecord {
  const decision = program.decide(record.context);
  if (!program.hasWeighRules) {
    return { record, decision, preferred: null, preferredUnweighed: null };
  }
  const preferred = leastCost(record.upstreams, program.weigher(record.context));
  return { record, decision, preferred, preferredUnweighed: leastCost(record.upstreams, () => 1) };
}

/** The picker's cost without the slow start: outstanding work times service time, times the program's factor. */
function leastCost(
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
