/**
 * Bundles `ternmount` into `target/` for machines where start-up is dear: one file a daemon loads faster than the many
 * modules that it is made of. Commands are loaded when they are asked for, as in the sources.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

rmSync('target', { recursive: true, force: true });
await build({
  entryPoints: { ternmount: 'src/cli/main.ts' },
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
  // Libraries in CommonJS ask for Node's own modules with `require`.
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
});
