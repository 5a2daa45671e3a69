/** Programs that are refused, each with the place of its fault, and what bounds the cost of those that are taken. */
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

function refuse(when: string, name = 'r1'): PolicyRule {
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

interface RefusedCase {
  readonly program: string;
  readonly rules: readonly PolicyRule[];
  readonly line: number;
  readonly column: number;
  readonly message: RegExp;
}

const numbers = (count: number) => Array.from({ length: count }, (_, index) => index).join(', ');

const REFUSED: readonly RefusedCase[] = [
  { program: 'with a wrong sign', rules: [refuse('load >')], line: 1, column: 7, message: /./ },
  {
    program: 'with an unknown variable',
    rules: [refuse('queue.fill > 0.5 && lod > 1.0')],
    line: 1,
    column: 21,
    message: /lod/,
  },
  {
    program: 'with an unknown field',
    rules: [refuse('queue.size > 1')],
    line: 1,
    column: 1,
    message: /size/,
  },
  { program: 'that compares unlike things', rules: [refuse("load > 'a'")], line: 1, column: 1, message: /./ },
  {
    program: 'whose condition is no truth value',
    rules: [refuse('load')],
    line: 1,
    column: 1,
    message: /bool/,
  },
  {
    program: 'on several lines',
    rules: [refuse('load > 1.0 &&\n  lod > 1.0')],
    line: 2,
    column: 3,
    message: /lod/,
  },
  {
    program: 'with a regular expression',
    rules: [refuse("request.key.matches('a+')")],
    line: 1,
    column: 1,
    message: /matches/,
  },
  {
    program: 'that loops over what is not written out',
    rules: [refuse('request.key.split("").exists(x, true)')],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'with a loop in a loop',
    rules: [refuse('[1, 2].exists(x, [1, 2].exists(y, x == y))')],
    line: 1,
    column: 18,
    message: /inside another/,
  },
  {
    program: 'with too long a list',
    rules: [refuse(`1 in [${numbers(EXPRESSION_LIMITS.maxListElements + 1)}]`)],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'that nests too deeply',
    rules: [refuse(`${'('.repeat(60)}load > 1.0${')'.repeat(60)}`)],
    line: 1,
    column: 1,
    message: /./,
  },
  {
    program: 'that is too long',
    rules: [refuse(`load > 1.0${' '.repeat(EXPRESSION_LIMITS.maxCharacters)}`)],
    line: 1,
    column: EXPRESSION_LIMITS.maxCharacters + 1,
    message: /longer/,
  },
  {
    program: 'with two rules of one name',
    rules: [refuse('true'), refuse('true')],
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
    program: 'that holds for no time',
    rules: [{ name: 'r', when: 'true', action: 'hold' }],
    line: 1,
    column: 1,
    message: /holdMillis/,
  },
  {
    program: 'that refuses by an upstream',
    rules: [refuse('upstream.load > 1.0')],
    line: 1,
    column: 1,
    message: /upstream/,
  },
];

describe('a policy program is refused', () => {
  for (const { program, rules, line, column, message } of REFUSED) {
    it(program, () => {
      const [fault] = faultsOf(rules);
      expect(fault?.message).to.match(message);
      const exact = column === 1 ? { line } : { line, column };
      expect(fault).to.include(exact);
    });
  }

  it('with more rules than the limit', () => {
    const { maxRules } = PROGRAM_LIMITS;
    const rules = Array.from({ length: maxRules + 1 }, (_, index) => refuse('true', `r${index}`));
    expect(faultsOf(rules.slice(1))).to.deep.equal([]);
    expect(faultsOf(rules)[0]).to.include({ rule: `r${maxRules}` });
  });

  it('when its rules together cost too much, at the rule that is too much', () => {
    const costly = `[${numbers(40)}].exists(x, double(x) > load)`;
    const rules = Array.from({ length: 20 }, (_, index) => refuse(costly, `r${index}`));
    const faults = faultsOf(rules);
    expect(faults).to.have.length(1);
    expect(faults[0]?.message).to.match(/costs more/);
    const before = rules.findIndex(({ name }) => name === faults[0]?.rule);
    expect(before).to.be.greaterThan(0);
    expect(faultsOf(rules.slice(0, before))).to.deep.equal([]);
  });

  it('when it puts together long texts to look at', () => {
    const text = Array.from({ length: 40 }, () => 'request.key').join(' + ');
    expect(faultsOf([refuse(`size(${text}) > 5`)])[0]?.message).to.match(/costs more/);
  });
});

describe('a policy program', () => {
  it('decides by its first rule that matches', () => {
    const program = compilePolicy([
      refuse('load > 1.0', 'overload'),
      { name: 'wait', when: 'queue.fill > 0.8', action: 'hold', holdMillis: '100' },
      { name: 'late', when: 'true', action: 'refuse', retryAfterSeconds: '2' },
    ]);
    expect(program.decide(CONTEXT)).to.deep.equal({ type: 'hold', rule: 'wait', holdMillis: 100 });
    expect(program.decide({ ...CONTEXT, queue: { length: 1, limit: 10 } })).to.include({ rule: 'late' });
  });

  it('that fails at run time counts as no match', () => {
    const program = compilePolicy([refuse('1 / queue.length > 0', 'divides')]);
    expect(program.decide({ ...CONTEXT, queue: { length: 0, limit: 0 } })).to.deep.equal({ type: 'pass' });
    expect(program.errorCounts().get('divides')).to.equal(1);
  });

  it('of any text is taken or refused with a place, and never throws when it decides', () => {
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
          program = compilePolicy([refuse(when)]);
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
