/** Compiles a CEL expression: parses it, checks its type and limits its cost when it is proposed. */
import type { ASTNode, Context, Environment, ParseResult } from '@marcbachmann/cel-js';
import { toError } from '../errors/ternmount-error.js';
import { EXPRESSION_LIMITS } from './policy-context.js';

/** Required result type of an expression. */
export type ExpressionType = 'bool' | 'number';

/** Why an expression was rejected, with the offset of the fault in its text. */
export interface ExpressionFault {
  readonly offset: number;
  readonly message: string;
}

/** A compiled expression, or why it was rejected. */
export type ExpressionOutcome =
  /** `cost` is the maximum number of evaluated parts, in units of one number comparison; see `PROGRAM_LIMITS`. */
  | { readonly type: 'compiled'; readonly evaluate: (context: Context) => unknown; readonly cost: number }
  | { readonly type: 'refused'; readonly fault: ExpressionFault };

/** Functions whose cost is bounded by the size of their arguments, unlike that of regular expressions. */
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
/** Macros that loop; allowed over a list literal only, and not nested. */
const LOOPING_MACROS = new Set(['all', 'exists', 'exists_one']);
/** Cost of a call on a text of the length of a key, in number comparisons (approximate). */
const TEXT_CALL_COST = 100;
const CONVERSION_COST = 5;
const CONVERSION_FUNCTIONS = new Set(['bool', 'double', 'int']);
const NUMBER_TYPES = new Set(['int', 'uint', 'double']);

/** Compiles an expression whose result type must be `expected`. */
export function compileExpression(
  environment: Environment,
  text: string,
  expected: ExpressionType,
): ExpressionOutcome {
  if (text.length > EXPRESSION_LIMITS.maxCharacters) {
    const message = `longer than ${EXPRESSION_LIMITS.maxCharacters} characters`;
    return refuseAt(EXPRESSION_LIMITS.maxCharacters, message);
  }
  let parsed: ParseResult;
  try {
    parsed = environment.parse(text);
  } catch (thrown) {
    return refuseWithError(thrown);
  }
  const costFault = findCostFault(parsed.ast, false);
  if (costFault !== undefined) {
    return { type: 'refused', fault: costFault };
  }
  const check = parsed.check();
  if (!check.valid) {
    return refuseWithError(check.error);
  }
  if (!hasType(check.type, expected)) {
    return refuseAt(0, `must give a ${expected}, gives ${check.type ?? 'nothing'}`);
  }
  return { type: 'compiled', evaluate: parsed, cost: costOf(parsed.ast) };
}

function hasType(type: string | undefined, expected: ExpressionType): boolean {
  return expected === 'bool' ? type === 'bool' : type !== undefined && NUMBER_TYPES.has(type);
}

function refuseAt(offset: number, message: string): ExpressionOutcome {
  return { type: 'refused', fault: { offset, message } };
}

/** Uses the short message and the range of errors of the CEL library. */
function refuseWithError(thrown: unknown): ExpressionOutcome {
  const error = toError(thrown) as Error & { summary?: string; range?: { start: number } };
  return refuseAt(error.range?.start ?? 0, error.summary ?? error.message);
}

/** Returns the first call whose cost isn't bounded by the size of its arguments. */
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

/** Returns the maximum number of evaluated parts. A call counts as several, and so does each `+` in its arguments. */
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
      (CONVERSION_FUNCTIONS.has(node.args[0])
        ? CONVERSION_COST
        : TEXT_CALL_COST * (1 + countConcatenations(node)))
    );
  }
  return 1 + childrenCost;
}

function countConcatenations(node: ASTNode): number {
  const inChildren = childrenOf(node).reduce((sum, child) => sum + countConcatenations(child), 0);
  return inChildren + (node.op === '+' ? 1 : 0);
}

function childrenOf(node: ASTNode): ASTNode[] {
  const { args } = node;
  return nodesIn(args);
}

/** Returns the nodes among arguments, which are nodes, nested lists of nodes, names and literals. */
function nodesIn(value: unknown): ASTNode[] {
  if (Array.isArray(value)) {
    return value.flatMap(nodesIn);
  }
  const isNode = typeof value === 'object' && value !== null && 'op' in value;
  return isNode ? [value as ASTNode] : [];
}
