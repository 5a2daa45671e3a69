/** Imports between the folders of the sources go downwards only, as docs/design/README.md says. Types may go anywhere. */
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const SOURCES = resolve(fileURLToPath(new URL('../../src', import.meta.url)));
/** Lowest first; folders of one line don't import each other. */
const LAYERS: readonly (readonly string[])[] = [
  ['errors', 'text', 'clock'],
  ['model'],
  ['logging'],
  ['policy', 'ledger', 'lease', 'consensus', 'placement'],
  ['registry'],
  ['storage', 'wire'],
  ['settings'],
  ['security'],
  ['routing'],
  ['control', 'upstream'],
  ['router'],
  ['cli', 'dev'],
];
const VALUE_IMPORT = /^(?:import|export) (?!type )[^;]*?from '(\.[^']+)';/gms;
const DYNAMIC_IMPORT = /import\('(\.[^']+)'\)/g;
/** A list of names that are all types. */
const ONLY_TYPES = /^(?:import|export) \{(?:\s*type \w+(?: as \w+)?,?)+\s*\}/;

interface Import {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

function folderOf(path: string): string {
  return path.split('/')[0] ?? '';
}

function importsOf(file: string): Import[] {
  const text = readFileSync(join(SOURCES, file), 'utf8');
  const matches = [...text.matchAll(VALUE_IMPORT), ...text.matchAll(DYNAMIC_IMPORT)];
  return matches
    .filter(([statement]) => !ONLY_TYPES.test(statement))
    .map(([, target = '']) => ({
      file,
      from: folderOf(file),
      to: folderOf(normalize(join(dirname(file), target))),
    }))
    .filter(({ from, to }) => from !== to);
}

function layerOf(folder: string): number {
  return LAYERS.findIndex((layer) => layer.includes(folder));
}

describe('layers of the sources', () => {
  const files = readdirSync(SOURCES, { recursive: true, encoding: 'utf8' }).filter((name) =>
    name.endsWith('.ts'),
  );

  it('every folder has its place', () => {
    for (const file of files.filter((name) => name.includes('/'))) {
      expect(layerOf(folderOf(file)), file).not.to.equal(-1);
    }
  });

  it('imports go downwards', () => {
    const upwards = files.flatMap(importsOf).filter(({ from, to }) => layerOf(to) >= layerOf(from));
    expect(upwards.map(({ file, to }) => `${file} imports ${to}`)).to.deep.equal([]);
  });
});
