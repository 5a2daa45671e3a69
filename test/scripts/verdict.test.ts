/** What the verdict of CI takes from KNOWN-RED.txt, and what it refuses there. */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const VERDICT = fileURLToPath(new URL('../../../scripts/verdict.mjs', import.meta.url));
const PASSES = 'the queue keeps its order';
const FAILS = 'the queue is never empty';
const ALSO_FAILS = 'the queue wakes its reader';

interface Verdict {
  readonly status: number | null;
  readonly lines: readonly string[];
}

describe('the verdict of CI', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-verdict-'));
    mkdirSync(join(folder, 'scripts'));
    copyFileSync(VERDICT, join(folder, 'scripts', 'verdict.mjs'));
  });

  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  function addCase(name: string): void {
    mkdirSync(join(folder, 'review', name), { recursive: true });
    writeFileSync(join(folder, 'review', name, 'claim.txt'), 'rule: OWNER\n');
  }

  /** The verdict of a run in which one test passed and the given ones failed. */
  function verdictOf(knownRed: readonly string[], failing: readonly string[] = [FAILS]): Verdict {
    const tests = [PASSES, FAILS, ALSO_FAILS].map((fullTitle) => ({ fullTitle }));
    const failures = failing.map((fullTitle) => ({ fullTitle, err: { message: 'no' } }));
    const report = join(folder, 'report.json');
    writeFileSync(report, JSON.stringify({ stats: { tests: 3, passes: 1 }, tests, failures }));
    writeFileSync(join(folder, 'KNOWN-RED.txt'), knownRed.map((line) => `${line}\n`).join(''));
    const script = join(folder, 'scripts', 'verdict.mjs');
    const { status, stdout } = spawnSync(process.execPath, [script, report], { encoding: 'utf8' });
    return { status, lines: stdout.trimEnd().split('\n') };
  }

  it('takes more than three right entries and passes over the failures that they list', () => {
    addCase('1');
    const entries = [
      `${FAILS} | a cause | 4`,
      `${ALSO_FAILS} | a cause | a seed | 5`,
      `${PASSES} | a cause | 6`,
      'review/1 | a command | 7',
    ];
    const { status, lines } = verdictOf(entries, [FAILS, ALSO_FAILS]);
    expect(lines).to.deep.equal([
      `known red, failed: ${entries[0]}`,
      `known red, failed: ${entries[1]}`,
      `known red, passed this time: ${entries[2]}`,
      `known red, not run here: ${entries[3]}`,
      '1 passed, 0 failed',
    ]);
    expect(status).to.equal(0);
  });

  it('fails for a failure that is not listed', () => {
    const { status, lines } = verdictOf([`${FAILS} | a cause | 4`], [FAILS, ALSO_FAILS]);
    expect(lines).to.include(`failed: ${ALSO_FAILS}`);
    expect(lines.at(-1)).to.equal('1 passed, 1 failed');
    expect(status).to.equal(1);
  });

  it('passes over no failure because of a case', () => {
    addCase('1');
    const { status, lines } = verdictOf(['review/1 | a command | 7'], ['review/1']);
    expect(lines).to.include('failed: review/1');
    expect(status).to.equal(1);
  });

  const wrongLines: Readonly<Record<string, readonly [line: string, problem: string]>> = {
    'two fields': [`${FAILS} | 4`, 'it has 2 fields, and needs 3'],
    'an empty field': [`${FAILS} | | 4`, 'a field is empty'],
    'a last field that is no number': [
      `${FAILS} | a cause | soon`,
      "its last field isn't an issue's number: soon",
    ],
    'a title that no test has': [
      'the queue | a cause | 4',
      'its first field is neither the title of a test of this run nor a folder review/N',
    ],
    'a folder that is not there': ['review/9 | a command | 4', 'there is no review/9/claim.txt'],
    'a folder elsewhere': [
      'review/../src | a command | 4',
      'its first field is neither the title of a test of this run nor a folder review/N',
    ],
  };
  for (const [name, [line, problem]] of Object.entries(wrongLines)) {
    it(`refuses a line with ${name}, and counts it as one failure`, () => {
      const { status, lines } = verdictOf([line], []);
      expect(lines).to.deep.equal([`wrong line in KNOWN-RED.txt, ${problem}: ${line}`, '1 passed, 1 failed']);
      expect(status).to.equal(1);
    });
  }

  it('passes over no failure that a wrong line names', () => {
    const { status, lines } = verdictOf([`${FAILS} | 4`]);
    expect(lines).to.include(`failed: ${FAILS}`);
    expect(lines.at(-1)).to.equal('1 passed, 2 failed');
    expect(status).to.equal(1);
  });
});
