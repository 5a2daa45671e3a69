/**
 * Bundles the daemons into `target/`, or the folder given as argument, for machines where start-up is dear: one script a daemon, and beside it the code that V8
 * compiled of it, so that nothing is parsed at start (launch.cjs). What libraries bring along and the daemons never use is
 * left out: zod's messages in other languages, all of undici but its HTTP/1.1 pools, most media types.
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { builtinModules } from 'node:module';
import { build } from 'esbuild';
import { leanLibraries } from './lean-libraries.mjs';

const DAEMONS = ['router', 'control'];
const FOLDER = process.argv[2] ?? 'target';
/** Flags that the deploy file runs the daemons with; compiled code is good for the same flags only. */
const COMMON_FLAGS = [
  '--v8-pool-size=1',
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  '--liftoff-only',
  '--no-memory-reducer',
];
const FLAGS = {
  control: COMMON_FLAGS,
  router: [
    ...COMMON_FLAGS,
    '--interrupt-budget=135000',
    '--no-lazy-feedback-allocation',
    '--initial-old-space-size=64',
    '--min-semi-space-size=4',
  ],
};

/** Node's own modules are asked for through a function that launch.cjs hands in, so that no `import` is left. */
const builtins = {
  name: 'builtins',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /.*/ }, ({ path }) => {
      const name = path.replace(/^node:/, '');
      return builtinModules.includes(name) ? { path: name, namespace: 'builtin' } : undefined;
    });
    onLoad({ filter: /.*/, namespace: 'builtin' }, ({ path }) => ({
      contents: `module.exports = requireBuiltin('node:${path}');`,
    }));
  },
};

/** Signals are received by a script of its own, which launch.cjs loads first; bundles share what it holds. */
const sharedSignals = {
  name: 'shared-signals',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /\/early-signals\.js$/ }, ({ path }) => ({ path, namespace: 'shared' }));
    onLoad({ filter: /.*/, namespace: 'shared' }, () => ({
      contents: "module.exports = requireBuiltin('./early-signals.cjs');",
    }));
  },
};

function bundleSignals() {
  return build({
    entryPoints: ['src/cli/early-signals.ts'],
    outfile: `${FOLDER}/early-signals.cjs`,
    bundle: true,
    format: 'cjs',
    platform: 'node',
    target: 'node20',
    minifyWhitespace: true,
    legalComments: 'none',
    logLevel: 'warning',
  });
}

async function bundle(daemon) {
  const { outputFiles } = await build({
    entryPoints: [`src/cli/daemons/${daemon}-main.ts`],
    write: false,
    bundle: true,
    format: 'esm',
    platform: 'node',
    target: 'node20',
    minifyWhitespace: true,
    minifySyntax: true,
    // Names stay as they are: errors show those of classes. Keeping them by `keepNames` instead takes a call for each function that is
    // made, 4 % of what a request costs (25 requests a second, 325 upstreams, a profile of 8 s).
    minifyIdentifiers: false,
    legalComments: 'none',
    logLevel: 'warning',
    external: ['got'],
    define: { 'import.meta.url': 'moduleUrl' },
    plugins: [leanLibraries, builtins, sharedSignals],
  });
  const [{ text }] = outputFiles;
  const code = text.replace(/^#!.*\n/, '');
  writeFileSync(
    `${FOLDER}/${daemon}.js`,
    `(async function (requireBuiltin, moduleUrl) {'use strict';${code}\n})`,
  );
}

/** Starts a daemon for a moment, so that what it compiles meanwhile is kept too. */
function keepCompiled(daemon) {
  const { status, stderr } = spawnSync(
    process.execPath,
    [...FLAGS[daemon], 'scripts/bundle/keep-compiled.cjs', FOLDER, daemon],
    {
      encoding: 'utf8',
    },
  );
  if (status !== 0) {
    // Only start-up is slower then.
    console.error(`compiled code of ${daemon} isn't kept: ${stderr}`);
  }
}

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
await Promise.all([bundleSignals(), ...DAEMONS.map(bundle)]);
copyFileSync('scripts/bundle/launch.cjs', `${FOLDER}/ternmount.cjs`);
DAEMONS.forEach(keepCompiled);
