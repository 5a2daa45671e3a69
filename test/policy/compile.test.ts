/** Invalid programs, each with the position of its fault, and the cost limit of valid ones. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { PolicyRule } from '../../src/model/service.js';
import {
  compilePolicy,
  EXPRESSION_LIMITS,
  type PolicyContext,
  PolicyError,
  PROGRAM_LIMITS,
} from '../../src/policy/index.js';

const CONTEXT: PolicyContext = {
  request: { class: 'bulk', method: 'GET', key: 'k', service: 'menu', attempt: 1 },
  queue: { length: 9, limit: 10 },
  load: 0.5,
  zone: 'a',
  deadline: { remainingMillis: 1000 },
};

function refuseRule(when: string, name = 'r1'): PolicyRule {
  return { name, when, action: 'refuse' };
}

function faultsOf(rules: readonly PolicyRule[]): PolicyError['diagnostics'] {
  try {
    compilePolicy(rules);
    return [];
  } catch (thrown) {
    expect(thrown).to.be.instanceOf(PolicyError);
    return (thrown as PolicyError).diagnostics;
  }
}

interface InvalidCase {
  readonly program: string;
  readonly rules: readonly PolicyRule[];
  readonly line: number;
  readonly column: number;
  readonly message: RegExp;
}

const numbers = (count: number) => Array.from({ length: count }, (_, index) => index).join(', ');

const INVALID_CASES: readonly InvalidCase[] = [
  { program: 'with a syntax error', rules: [refuseRule('load >')], line: 1, column: 7, message: /./ },
  {
    program: 'with an unknown variable',
    rules: [refuseRule('queue.fill > 0.5 && lod > 1.0')],
    line: 1,
    column: 21,
    message: /lod/,
  },
  {
    program: 'with an unknown field',
    rules: [refuseRule('queue.size > 1')],
    line: 1,
    column: 1,
    message: /size/,
  },
  {
    program: 'that compares incompatible types',
    rules: [refuseRule("load > 'a'")],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'whose condition is not a boolean',
    rules: [refuseRule('load')],
    line: 1,
    column: 1,
    message: /bool/,
  },
  {
    program: 'on several lines',
    rules: [refuseRule('load > 1.0 &&\n  lod > 1.0')],
    line: 2,
    column: 3,
    message: /lod/,
  },
  {
    program: 'with a regular expression',
    rules: [refuseRule("request.key.matches('a+')")],
    line: 1,
    column: 1,
    message: /matches/,
  },
  {
    program: 'that loops over something else than a list literal',
    rules: [refuseRule('request.key.split("").exists(x, true)')],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'with a loop in a loop',
    rules: [refuseRule('[1, 2].exists(x, [1, 2].exists(y, x == y))')],
    line: 1,
    column: 18,
    message: /inside another/,
  },
  {
    program: 'with too long a list',
    rules: [refuseRule(`1 in [${numbers(EXPRESSION_LIMITS.maxListElements + 1)}]`)],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'that nests too deeply',
    rules: [refuseRule(`${'('.repeat(60)}load > 1.0${')'.repeat(60)}`)],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'that is too long',
    rules: [refuseRule(`load > 1.0${' '.repeat(EXPRESSION_LIMITS.maxCharacters)}`)],
    line: 1,
    column: EXPRESSION_LIMITS.maxCharacters + 1,
    message: /longer/,
  },
  {
    program: 'with two rules of the same name',
    rules: [refuseRule('true'), refuseRule('true')],
    line: 1,
    column: 1,
    message: /same name/,
  },
  {
    program: 'that weighs with a text',
    rules: [{ name: 'r', when: 'true', action: 'weigh', weight: 'zone' }],
    line: 1,
    column: 1,
    message: /number/,
  },
  {
    program: 'that holds without a duration',
    rules: [{ name: 'r', when: 'true', action: 'hold' }],
    line: 1,
    column: 1,
    message: /holdMillis/,
  },
  {
    program: 'with a refuse rule that uses an upstream',
    rules: [refuseRule('upstream.load > 1.0')],
    line: 1,
    column: 1,
    message: /upstream/,
  },
];

describe('a policy program is refused', () => {
  for (const { program, rules, line, column, message } of INVALID_CASES) {
    it(program, () => {
      const [fault] = faultsOf(rules);
      expect(fault?.message).to.match(message);
      const exact = column === 1 ? { line } : { line, column };
      expect(fault).to.include(exact);
    });
  }

  it('with more rules than the limit', () => {
    const { maxRules } = PROGRAM_LIMITS;
    const rules = Array.from({ length: maxRules + 1 }, (_, index) => refuseRule('true', `r${index}`));
    expect(faultsOf(rules.slice(1))).to.deep.equal([]);
    expect(faultsOf(rules)[0]).to.include({ rule: `r${maxRules}` });
  });

  it('when the total cost of its rules is too high, at the rule that exceeds the limit', () => {
    const expensive = `[${numbers(40)}].exists(x, double(x) > load)`;
    const rules = Array.from({ length: 20 }, (_, index) => refuseRule(expensive, `r${index}`));
    const faults = faultsOf(rules);
    expect(faults).to.have.length(1);
    expect(faults[0]?.message).to.match(/costs more/);
    const firstTooExpensive = rules.findIndex(({ name }) => name === faults[0]?.rule);
    expect(firstTooExpensive).to.be.greaterThan(0);
    expect(faultsOf(rules.slice(0, firstTooExpensive))).to.deep.equal([]);
  });

  it('when it concatenates long texts', () => {
    const text = Array.from({ length: 40 }, () => 'request.key').join(' + ');
    expect(faultsOf([refuseRule(`size(${text}) > 5`)])[0]?.message).to.match(/costs more/);
  });
});

describe('a policy program', () => {
  it('returns the decision of the first matching rule', () => {
    const program = compilePolicy([
      refuseRule('load > 1.0', 'overload'),
      { name: 'wait', when: 'queue.fill > 0.8', action: 'hold', holdMillis: '100' },
      { name: 'late', when: 'true', action: 'refuse', retryAfterSeconds: '2' },
    ]);
    expect(program.decide(CONTEXT)).to.deep.equal({ type: 'hold', rule: 'wait', holdMillis: 100 });
    expect(program.decide({ ...CONTEXT, queue: { length: 1, limit: 10 } })).to.include({ rule: 'late' });
  });

  it('treats a rule that fails at run time as no match', () => {
    const program = compilePolicy([refuseRule('1 / queue.length > 0', 'divides')]);
    expect(program.decide({ ...CONTEXT, queue: { length: 0, limit: 0 } })).to.deep.equal({ type: 'pass' });
    expect(program.errorCounts().get('divides')).to.equal(1);
  });

  it('of any text compiles or throws PolicyError, and never throws in decide', () => {
    const word = fc.constantFrom(
      'load',
      'queue',
      '.',
      'fill',
      '>',
      '1.0',
      '(',
      ')',
      '&&',
      "'",
      '"',
      '[',
      ']',
      '!',
      '\n',
      'in',
      '?',
      ':',
      ' ',
    );
    const text = fc.array(word, { maxLength: 14 }).map((words) => words.join(''));
    fc.assert(
      fc.property(text, (when) => {
        let program: ReturnType<typeof compilePolicy>;
        try {
          program = compilePolicy([refuseRule(when)]);
        } catch (thrown) {
          expect(thrown).to.be.instanceOf(PolicyError);
          return;
        }
        expect(program.decide(CONTEXT).type).to.be.oneOf(['pass', 'refuse']);
      }),
      { numRuns: 500 },
    );
  });
});
