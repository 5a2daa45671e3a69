/** Settings files of text that nobody wrote are read, or refused with their places; nothing else comes of them. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import fc from 'fast-check';
import { stringify } from 'yaml';
import { loadControlSettings } from '../../src/settings/control-settings.js';
import { loadDefinitions } from '../../src/settings/definition-documents.js';
import { loadPolicy } from '../../src/settings/policy-file.js';
import { loadRouterSettings } from '../../src/settings/router-settings.js';
import { SettingsError } from '../../src/settings/settings-error.js';

const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
const numRuns = Number(process.env.TERNMOUNT_SEEDS ?? 80);

const ROUTER = {
  cluster: 'north',
  zone: 'a',
  router: 'router-1',
  listen: '127.0.0.1:8000',
  admin: '127.0.0.1:8001',
  control: ['127.0.0.2:8002', '127.0.0.3:8002'],
};
const CONTROL = {
  cluster: 'north',
  zone: 'a',
  listen: '127.0.0.1:7000',
  admin: '127.0.0.1:7001',
  dataFolder: '/data',
  replicaName: 'control-1',
  timings: { heartbeat: '60ms', electionTimeout: '300ms' },
};
const POLICY = { policy: [{ name: 'shed-when-full', when: 'queue.fill > 0.9', action: 'refuse' }] };
const SERVICE = {
  kind: 'service',
  name: 'menu',
  repeatable: true,
  deadline: '2s',
  slotsPerUpstream: 8,
  keyspaces: [
    { name: 'grand-final', exact: 'grand-final' },
    { name: 'all', prefix: '', shards: 16 },
  ],
  ...POLICY,
};

interface Kind {
  readonly sample: unknown;
  readonly read: (file: string) => unknown;
}

const KINDS: Readonly<Record<string, Kind>> = {
  router: { sample: ROUTER, read: (file) => loadRouterSettings({ file, environment: {}, flags: {} }) },
  control: { sample: CONTROL, read: (file) => loadControlSettings({ file, environment: {}, flags: {} }) },
  definitions: { sample: SERVICE, read: loadDefinitions },
  policy: { sample: POLICY, read: loadPolicy },
};

/** Text that means something to a reader of YAML. */
const SIGNS = [
  ':',
  '- ',
  '\n',
  '  ',
  '{',
  '}',
  '[',
  ']',
  '&a ',
  '*a',
  '<<: *a',
  '!!binary ',
  '!!set',
  '!x ',
  '|',
  '>',
  '?',
  '#',
  '---\n',
  '...\n',
  '%YAML 1.1\n',
  '"',
  "'",
  '\t',
  '\0',
  '\ufeff',
  '\ud800',
  '__proto__: 1\n',
  'constructor: {}\n',
  '1e999',
  '.nan',
  '0o7',
  '~',
];

const anyText = fc.oneof(
  fc.constantFrom(...SIGNS),
  fc.string({ maxLength: 8 }),
  fc.string({ unit: 'binary', maxLength: 4 }),
);
const anyEdits = fc.array(fc.record({ at: fc.nat(), removed: fc.nat(12), text: anyText }), {
  minLength: 1,
  maxLength: 4,
});

function edited(text: string, edits: readonly { at: number; removed: number; text: string }[]): string {
  return edits.reduce((current, edit) => {
    const at = edit.at % (current.length + 1);
    return current.slice(0, at) + edit.text + current.slice(at + edit.removed);
  }, text);
}

/** Every place in a value, as a path. */
function pathsOf(value: unknown, path: readonly string[] = []): string[][] {
  const own = [[...path]];
  if (typeof value !== 'object' || value === null) {
    return own;
  }
  return [...own, ...Object.entries(value).flatMap(([name, item]) => pathsOf(item, [...path, name]))];
}

/** Returns a copy of a value with another one at a path. */
function replaced(value: unknown, [step, ...rest]: readonly string[], other: unknown): unknown {
  if (step === undefined) {
    return other;
  }
  const copy = (Array.isArray(value) ? [...value] : { ...(value as object) }) as Record<string, unknown>;
  copy[step] = replaced(copy[step], rest, other);
  return copy;
}

describe('settings files that nobody wrote', () => {
  let folder = '';

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-settings-'));
  });
  after(() => rmSync(folder, { recursive: true }));

  /** Returns whether a file was read; checks that it was refused with a place otherwise. */
  function isRead(read: Kind['read'], content: string | Uint8Array): boolean {
    const file = join(folder, 'settings.yaml');
    writeFileSync(file, content);
    try {
      read(file);
      return true;
    } catch (thrown) {
      expect(thrown, String((thrown as Error).stack)).to.be.instanceOf(SettingsError);
      const { problems } = thrown as SettingsError;
      expect(problems).not.to.deep.equal([]);
      for (const { source, message } of problems) {
        expect(source).to.contain('settings.yaml');
        expect(message).to.be.a('string').and.not.equal('');
      }
      return false;
    }
  }

  for (const [name, { sample, read }] of Object.entries(KINDS)) {
    /** Guards against a bare error of the YAML library, which names no file, while aliases are resolved. */
    it(`are refused with their places, with an alias that nothing defines: ${name}`, () => {
      for (const text of ['*nowhere', 'listen: *nowhere', '[*nowhere]', '? *nowhere : 1']) {
        expect(isRead(read, text), text).to.equal(false);
      }
    });

    it(`are read, or refused with their places: ${name}`, () => {
      const text = stringify(sample);
      expect(isRead(read, text), text).to.equal(true);
      const property = fc.property(anyEdits, (edits) => void isRead(read, edited(text, edits)));
      fc.assert(property, { seed, numRuns });
    });

    it(`are read, or refused with their places, with any value in any place: ${name}`, () => {
      const property = fc.property(
        fc.constantFrom(...pathsOf(sample)),
        fc.oneof(
          fc.jsonValue({ maxDepth: 2 }),
          fc.constantFrom('', -1, 1e300, '1s', '0ms', '127.0.0.1:1', [], {}),
        ),
        (path, value) => void isRead(read, JSON.stringify(replaced(sample, path, value))),
      );
      fc.assert(property, { seed, numRuns });
    });

    it(`are read, or refused with their places, as any bytes: ${name}`, () => {
      const property = fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => void isRead(read, bytes));
      fc.assert(property, { seed, numRuns });
    });
  }
});
