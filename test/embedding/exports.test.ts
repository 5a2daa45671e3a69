/** Tests the packed package in a separate project: entry points, types, examples and programs. */
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect } from 'chai';
import { PACKAGE, REPOSITORY, ScratchProject } from './scratch-project.js';

/** One export of each entry point. */
const EXPECTED: Readonly<Record<string, string>> = {
  consensus: 'createRaft',
  lease: 'createGrantHolder',
  placement: 'createPlanner',
  routing: 'createRouterNode',
  ledger: 'Ledger',
  upstream: 'createFence',
  policy: 'compilePolicy',
};

/** Last line of each example's output. */
const LAST_LINES: Readonly<Record<string, string>> = {
  'consensus.mjs': '{"a":["hello"],"b":["hello"],"c":["hello"]}',
  'lease.mjs': 'granter waits 1507.4999999999998 ms',
  'placement.mjs': 'evacuate: menu/all@1/3 menu-2 -> menu-1',
  'routing.mjs': "[ 'deliver' ]",
  'ledger.mjs': 'resent duplicate ran 200',
  'upstream.mjs': 'without a grant 421 not-run',
  'policy.mjs': 'fault true 1:7: rule "wrong": when: No such key: fil',
};

/** Returns the fenced JavaScript blocks that import the package. */
function scriptsOf(file: string): string[] {
  const path = join(REPOSITORY, file);
  const text = existsSync(path) ? readFileSync(path, 'utf8') : '';
  const blocks = [...text.matchAll(/^```js\n(.*?)^```/gms)].map(([, block = '']) => block);
  return blocks.filter((block) => block.includes("from 'ternmount/"));
}

describe('the packed package', function () {
  this.timeout(120_000);
  let project: ScratchProject;
  before(() => {
    project = new ScratchProject();
  });
  after(() => project.remove());

  it('exports every documented entry point', () => {
    const names = Object.keys(PACKAGE.exports).map((name) => name.replace('./', ''));
    expect(names).to.include.members(Object.keys(EXPECTED));
  });

  for (const [name, member] of Object.entries(EXPECTED)) {
    it(`ternmount/${name} can be imported and has ${member}`, () => {
      project.write(
        'import.mjs',
        `import { ${member} } from 'ternmount/${name}'; console.log(typeof ${member});`,
      );
      expect(project.run('import.mjs')).to.deep.equal({ status: 0, output: 'function\n' });
    });
  }

  it('exports nothing else', () => {
    project.write('inside.mjs', "import 'ternmount/build/src/registry/index.js';");
    expect(project.run('inside.mjs').output).to.contain('ERR_PACKAGE_PATH_NOT_EXPORTED');
  });

  it('has types that compile in a strict project', () => {
    const lines = Object.entries(EXPECTED).map(
      ([name, member], index) =>
        `import { ${member} as member${index} } from 'ternmount/${name}';\nexport const kind${index}: string = typeof member${index};`,
    );
    project.write('types.ts', `${lines.join('\n')}\n`);
    const compilerOptions = {
      module: 'nodenext',
      target: 'es2022',
      strict: true,
      noEmit: true,
      types: ['node'],
      skipLibCheck: true,
    };
    project.write('tsconfig.json', JSON.stringify({ compilerOptions, files: ['types.ts'] }));
    const compiler = join(REPOSITORY, 'node_modules/typescript/bin/tsc');
    expect(project.run(compiler, '-p', 'tsconfig.json')).to.deep.equal({ status: 0, output: '' });
  });

  it('runs every example, one for each entry point', () => {
    const names = project.copyExamples();
    expect(names.sort()).to.deep.equal(Object.keys(LAST_LINES).sort());
    for (const name of names) {
      const { status, output } = project.run(name);
      expect(status, output).to.equal(0);
      expect(output.trimEnd().split('\n').at(-1), name).to.equal(LAST_LINES[name]);
    }
  });

  it('runs every example of the documentation, at least one for each entry point', () => {
    const scripts = ['README.md', 'examples/README.md'].flatMap(scriptsOf);
    for (const name of Object.keys(EXPECTED)) {
      expect(
        scripts.some((script) => script.includes(`from 'ternmount/${name}'`)),
        name,
      ).to.equal(true);
    }
    for (const script of scripts) {
      project.write('page.mjs', script);
      const { status, output } = project.run('page.mjs');
      expect(status, `${script}\n${output}`).to.equal(0);
    }
  });

  for (const [name, file] of Object.entries(PACKAGE.bin)) {
    it(`provides a working ${name} program`, () => {
      const { status, output } = project.run(join(project.packageFolder, file), '--help');
      expect(status, output).to.equal(0);
      expect(output).to.contain(`$ ${name} `);
    });
  }
});
