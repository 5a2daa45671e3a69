/** Compiled policy program of a service, which refuses or holds requests and weighs upstreams. */
import type { Context, Environment } from '@marcbachmann/cel-js';
import type { PolicyRule } from '../model/service.js';
import { compileExpression, type ExpressionType } from './expression.js';
import {
  celContextOf,
  celUpstreamOf,
  type PolicyContext,
  type PolicyUpstream,
  PROGRAM_LIMITS,
  REQUEST_ENVIRONMENT,
  WEIGH_ENVIRONMENT,
} from './policy-context.js';
import { type PolicyDiagnostic, PolicyError, type PolicyPosition } from './policy-error.js';

/** Fields of a rule that contain expressions. */
export type ExpressionField = 'when' | 'weight' | 'retryAfterSeconds' | 'holdMillis';

/** Locates the fields of rules in a file. */
export interface PolicySource {
  /** `offset` counts characters from the start of the field's text. */
  locate(ruleIndex: number, field: ExpressionField | null, offset: number): PolicyPosition;
}

/** Decision of a program on one request. */
export type PolicyDecision =
  | { readonly type: 'pass' }
  /** With `null` as `retryAfterMillis` the router uses the measured drain time of its queue. */
  | { readonly type: 'refuse'; readonly rule: string; readonly retryAfterMillis: number | null }
  | { readonly type: 'hold'; readonly rule: string; readonly holdMillis: number };

/** A compiled program. A rule that fails at run time doesn't match. */
export interface PolicyProgram {
  readonly hasWeighRules: boolean;
  /** Returns the decision of the first `refuse` or `hold` rule that matches. */
  decide(context: PolicyContext): PolicyDecision;
  /** Creates the weight function of one request: the product of all `weigh` rules that match an upstream. */
  weigher(context: PolicyContext): (upstream: PolicyUpstream) => number;
  /** Number of runtime errors by rule name. */
  errorCounts(): ReadonlyMap<string, number>;
}

/** Limits of a factor, so that a rule can't exclude an upstream from measurement. */
const MIN_WEIGHT = 0.01;
const MAX_WEIGHT = 100;
const MILLIS_PER_SECOND = 1000;
const PASS: PolicyDecision = { type: 'pass' };

type Evaluate = (context: Context) => unknown;

interface CompiledRule {
  readonly name: string;
  readonly action: PolicyRule['action'];
  readonly when: Evaluate;
  /** The number required by the action; `null` if it is optional and absent. */
  readonly amount: Evaluate | null;
}

interface AmountField {
  readonly field: 'weight' | 'retryAfterSeconds' | 'holdMillis';
  readonly required: boolean;
}

const AMOUNT_FIELDS: Readonly<Record<PolicyRule['action'], AmountField>> = {
  weigh: { field: 'weight', required: true },
  refuse: { field: 'retryAfterSeconds', required: false },
  hold: { field: 'holdMillis', required: true },
};

/**
 * Compiles the rules of a service.
 *
 * @throws PolicyError with a diagnostic for each fault; without `source`, positions are relative to the expression.
 */
export function compilePolicy(rules: readonly PolicyRule[], source?: PolicySource): PolicyProgram {
  const compiler = new PolicyCompiler(source);
  const compiled = rules.map((rule, index) => compiler.compileRule(rule, index));
  const { maxRules } = PROGRAM_LIMITS;
  if (rules.length > maxRules) {
    compiler.addDiagnostic(rules[maxRules] as PolicyRule, maxRules, null, 0, `more than ${maxRules} rules`);
  }
  if (compiler.diagnostics.length > 0) {
    throw new PolicyError(compiler.diagnostics);
  }
  return new CelPolicyProgram(compiled as CompiledRule[]);
}

class PolicyCompiler {
  readonly diagnostics: PolicyDiagnostic[] = [];
  private cost = 0;
  private readonly names = new Set<string>();

  constructor(private readonly source: PolicySource | undefined) {}

  compileRule(rule: PolicyRule, index: number): CompiledRule | undefined {
    if (this.names.has(rule.name)) {
      this.addDiagnostic(rule, index, null, 0, 'another rule has the same name');
    }
    this.names.add(rule.name);
    const when = this.compileField(rule, index, 'when', rule.when, 'bool');
    const amount = this.compileAmount(rule, index);
    if (when === undefined || amount === undefined) {
      return undefined;
    }
    return { name: rule.name, action: rule.action, when, amount };
  }

  addDiagnostic(
    rule: PolicyRule,
    index: number,
    field: ExpressionField | null,
    offset: number,
    message: string,
  ): void {
    const text = field === null ? '' : (rule[field] ?? '');
    const position = this.source?.locate(index, field, offset) ?? positionInText(text, offset);
    this.diagnostics.push({ rule: rule.name, field, ...position, message });
  }

  /** Returns `undefined` after a fault, `null` if the rule has no amount. */
  private compileAmount(rule: PolicyRule, index: number): Evaluate | null | undefined {
    const { field, required } = AMOUNT_FIELDS[rule.action];
    const text = rule[field];
    if (text !== undefined) {
      return this.compileField(rule, index, field, text, 'number');
    }
    if (required) {
      this.addDiagnostic(rule, index, null, 0, `action ${rule.action} needs ${field}`);
      return undefined;
    }
    return null;
  }

  private compileField(
    rule: PolicyRule,
    index: number,
    field: ExpressionField,
    text: string,
    expected: ExpressionType,
  ): Evaluate | undefined {
    const environment: Environment = rule.action === 'weigh' ? WEIGH_ENVIRONMENT : REQUEST_ENVIRONMENT;
    const outcome = compileExpression(environment, text, expected);
    if (outcome.type === 'compiled') {
      this.addCost(rule, index, field, outcome.cost);
      return outcome.evaluate;
    }
    this.addDiagnostic(rule, index, field, outcome.fault.offset, outcome.fault.message);
    return undefined;
  }

  /** Reports the field at which the program exceeds the maximum cost. */
  private addCost(rule: PolicyRule, index: number, field: ExpressionField, cost: number): void {
    const { maxCost } = PROGRAM_LIMITS;
    const previousCost = this.cost;
    this.cost += cost;
    if (previousCost <= maxCost && this.cost > maxCost) {
      this.addDiagnostic(rule, index, field, 0, `the program costs more than ${maxCost} evaluated parts`);
    }
  }
}

class CelPolicyProgram implements PolicyProgram {
  private readonly decidingRules: readonly CompiledRule[];
  private readonly weighRules: readonly CompiledRule[];
  private readonly errors = new Map<string, number>();

  constructor(rules: readonly CompiledRule[]) {
    this.decidingRules = rules.filter((rule) => rule.action !== 'weigh');
    this.weighRules = rules.filter((rule) => rule.action === 'weigh');
  }

  get hasWeighRules(): boolean {
    return this.weighRules.length > 0;
  }

  errorCounts(): ReadonlyMap<string, number> {
    return this.errors;
  }

  decide(context: PolicyContext): PolicyDecision {
    if (this.decidingRules.length === 0) {
      return PASS;
    }
    const celContext = celContextOf(context);
    for (const rule of this.decidingRules) {
      const decision = this.evaluateRule(rule, PASS, () => decideRule(rule, celContext));
      if (decision.type !== 'pass') {
        return decision;
      }
    }
    return PASS;
  }

  weigher(context: PolicyContext): (upstream: PolicyUpstream) => number {
    const celContext = celContextOf(context);
    return (upstream) => {
      const upstreamContext = { ...celContext, upstream: celUpstreamOf(upstream) };
      const factors = this.weighRules.map((rule) =>
        this.evaluateRule(rule, 1, () => weighRule(rule, upstreamContext)),
      );
      return factors.reduce((product, factor) => product * factor, 1);
    };
  }

  /** Evaluates a rule; a runtime error is counted and returns `noMatch`. */
  private evaluateRule<Result>(rule: CompiledRule, noMatch: Result, evaluate: () => Result): Result {
    try {
      return evaluate();
    } catch {
      this.errors.set(rule.name, (this.errors.get(rule.name) ?? 0) + 1);
      return noMatch;
    }
  }
}

function decideRule(rule: CompiledRule, context: Context): PolicyDecision {
  if (rule.when(context) !== true) {
    return PASS;
  }
  const amount = rule.amount === null ? null : amountOf(rule.amount, context);
  if (rule.action === 'hold') {
    return { type: 'hold', rule: rule.name, holdMillis: amount ?? 0 };
  }
  return {
    type: 'refuse',
    rule: rule.name,
    retryAfterMillis: amount === null ? null : amount * MILLIS_PER_SECOND,
  };
}

function weighRule(rule: CompiledRule, context: Context): number {
  if (rule.amount === null || rule.when(context) !== true) {
    return 1;
  }
  return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, amountOf(rule.amount, context)));
}

/** @throws RangeError unless the result is a finite number of 0 or more. */
function amountOf(evaluate: Evaluate, context: Context): number {
  const amount = Number(evaluate(context));
  if (!Number.isFinite(amount) || amount < 0) {
    throw new RangeError(`not a finite number of 0 or more: ${amount}`);
  }
  return amount;
}

/** Returns line and column of an offset in a text, both starting at 1. */
export function positionInText(text: string, offset: number): PolicyPosition {
  const lines = text.slice(0, offset).split('\n');
  return { line: lines.length, column: (lines[lines.length - 1] ?? '').length + 1 };
}
