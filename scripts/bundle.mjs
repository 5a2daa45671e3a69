/**
 * Bundles the daemons into `target/` for machines where start-up is dear: one file a daemon loads faster than the many
 * modules that it is made of. What libraries bring along and the daemons never use is left out: zod's messages in other
 * languages, and all of undici but its pools.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

/** Takes the place of modules whose path fits. */
const leanLibraries = {
  name: 'lean-libraries',
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'lean' }));
    build.onResolve({ filter: /locales\/index\.js$/ }, ({ importer }) =>
      importer.includes('/zod/') ? { path: 'zod-locales', namespace: 'lean' } : undefined,
    );
    build.onLoad({ filter: /^undici$/, namespace: 'lean' }, () => ({
      contents: `export { default as Agent } from 'undici/lib/dispatcher/agent.js';
        export { default as Pool } from 'undici/lib/dispatcher/pool.js';
        export { default as buildConnector } from 'undici/lib/core/connect.js';`,
      resolveDir: process.cwd(),
    }));
    build.onLoad({ filter: /^zod-locales$/, namespace: 'lean' }, () => ({
      contents: "export { default as en } from 'zod/v4/locales/en.js';",
      resolveDir: process.cwd(),
    }));
  },
};

rmSync('target', { recursive: true, force: true });
await build({
  entryPoints: { ternmount: 'src/cli/daemon-main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [leanLibraries],
  // Libraries in CommonJS ask for Node's own modules with `require`.
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
});
