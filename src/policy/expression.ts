/** One CEL expression: parsed, type-checked and bounded in cost when it is proposed. */
import type { ASTNode, Context, Environment, ParseResult } from '@marcbachmann/cel-js';
import { toError } from '../errors/ternmount-error.js';
import { EXPRESSION_LIMITS } from './policy-context.js';

/** What an expression must give. */
export type ExpressionType = 'bool' | 'number';

/** Why an expression was refused, with the offset of the place in its text. */
export interface ExpressionFault {
  readonly offset: number;
  readonly message: string;
}

/** A compiled expression, or why it was refused. */
export type ExpressionOutcome =
  /** `cost`: parts evaluated at most, in comparisons of numbers; see `PROGRAM_LIMITS`. */
  | { readonly type: 'compiled'; readonly evaluate: (context: Context) => unknown; readonly cost: number }
  | { readonly type: 'refused'; readonly fault: ExpressionFault };

/** Functions whose cost is bounded by the size of their arguments. Regular expressions aren't. */
const ALLOWED_FUNCTIONS = new Set([
  'bool',
  'contains',
  'double',
  'endsWith',
  'int',
  'size',
  'startsWith',
  'string',
]);
/** Macros that loop; allowed over a list written out, and not inside each other. */
const LOOPING_MACROS = new Set(['all', 'exists', 'exists_one']);
/** A call on a text of the length of a key takes as long as about so many comparisons of numbers. */
const TEXT_CALL_COST = 100;
const CONVERSION_COST = 5;
const CONVERSIONS = new Set(['bool', 'double', 'int']);
const NUMBER_TYPES = new Set(['int', 'uint', 'double']);

/** Compiles an expression which must give `expected`. */
export function compileExpression(
  environment: Environment,
  text: string,
  expected: ExpressionType,
): ExpressionOutcome {
  if (text.length > EXPRESSION_LIMITS.maxCharacters) {
    const message = `longer than ${EXPRESSION_LIMITS.maxCharacters} characters`;
    return refused(EXPRESSION_LIMITS.maxCharacters, message);
  }
  let parsed: ParseResult;
  try {
    parsed = environment.parse(text);
  } catch (thrown) {
    return refusedBy(thrown);
  }
  const costFault = findCostFault(parsed.ast, false);
  if (costFault !== undefined) {
    return { type: 'refused', fault: costFault };
  }
  const check = parsed.check();
  if (!check.valid) {
    return refusedBy(check.error);
  }
  if (!hasType(check.type, expected)) {
    return refused(0, `must give a ${expected}, gives ${check.type ?? 'nothing'}`);
  }
  return { type: 'compiled', evaluate: parsed, cost: costOf(parsed.ast) };
}

function hasType(type: string | undefined, expected: ExpressionType): boolean {
  return expected === 'bool' ? type === 'bool' : type !== undefined && NUMBER_TYPES.has(type);
}

function refused(offset: number, message: string): ExpressionOutcome {
  return { type: 'refused', fault: { offset, message } };
}

/** The library's errors carry a short text and a range. */
function refusedBy(thrown: unknown): ExpressionOutcome {
  const error = toError(thrown) as Error & { summary?: string; range?: { start: number } };
  return refused(error.range?.start ?? 0, error.summary ?? error.message);
}

/** The first call that could cost more than its arguments' size. */
function findCostFault(node: ASTNode, insideLoop: boolean): ExpressionFault | undefined {
  if (node.op === 'call' && !ALLOWED_FUNCTIONS.has(node.args[0])) {
    return { offset: node.start, message: `function ${node.args[0]} is not allowed` };
  }
  if (node.op === 'rcall') {
    const [name, receiver] = node.args;
    if (LOOPING_MACROS.has(name)) {
      return findLoopFault(node, receiver, insideLoop);
    }
    if (!ALLOWED_FUNCTIONS.has(name)) {
      return { offset: node.start, message: `function ${name} is not allowed` };
    }
  }
  return firstFault(childrenOf(node), insideLoop);
}

function findLoopFault(node: ASTNode, receiver: ASTNode, insideLoop: boolean): ExpressionFault | undefined {
  if (insideLoop) {
    return { offset: node.start, message: 'a macro that loops can not stand inside another' };
  }
  if (receiver.op !== 'list') {
    return { offset: receiver.start, message: 'a macro that loops needs a list written out' };
  }
  return firstFault(childrenOf(node), true);
}

function firstFault(nodes: readonly ASTNode[], insideLoop: boolean): ExpressionFault | undefined {
  for (const node of nodes) {
    const fault = findCostFault(node, insideLoop);
    if (fault !== undefined) {
      return fault;
    }
  }
  return undefined;
}

/** Parts evaluated at most; a call counts as many, and so does each piece of a text that is put together for it. */
function costOf(node: ASTNode): number {
  const childrenCost = childrenOf(node).reduce((sum, child) => sum + costOf(child), 0);
  if (node.op === 'rcall' && LOOPING_MACROS.has(node.args[0])) {
    const list: ASTNode = node.args[1];
    const elements = list.op === 'list' ? list.args.length : 1;
    return 1 + childrenCost * Math.max(1, elements);
  }
  if (node.op === 'call' || node.op === 'rcall') {
    return (
      childrenCost +
      (CONVERSIONS.has(node.args[0]) ? CONVERSION_COST : TEXT_CALL_COST * (1 + countSums(node)))
    );
  }
  return 1 + childrenCost;
}

function countSums(node: ASTNode): number {
  const below = childrenOf(node).reduce((sum, child) => sum + countSums(child), 0);
  return below + (node.op === '+' ? 1 : 0);
}

function childrenOf(node: ASTNode): ASTNode[] {
  const { args } = node;
  return nodesIn(args);
}

/** Arguments are nodes, or lists of nodes to any depth, between names and literals. */
function nodesIn(value: unknown): ASTNode[] {
  if (Array.isArray(value)) {
    return value.flatMap(nodesIn);
  }
  const isNode = typeof value === 'object' && value !== null && 'op' in value;
  return isNode ? [value as ASTNode] : [];
}
