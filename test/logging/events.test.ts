/** Sources, the table of events and the documentation agree. */
import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { EVENTS } from '../../src/logging/events.js';

const ROOT = resolve(fileURLToPath(new URL('../../..', import.meta.url)));
const EVENT_CALLS = [
  /\b(?:log|logger|auditLogger)\.(?:debug|info|warn|error|sample)\(\s*'([a-z-]+)'/g,
  /\blog\(\s*'(?:debug|info|warn|error)',\s*'([a-z-]+)'/g,
  /\blog\.log\(\s*\w+,\s*'([a-z-]+)'/g,
  /\.log\(\s*'([a-z]+-[a-z-]+)'/g,
  /\bevent: '([a-z-]+)'/g,
  /\bwrite\('warn', 'logging', '([a-z-]+)'/g,
];

function loggedEvents(): Set<string> {
  const found = new Set<string>();
  const files = readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' });
  for (const file of files.filter((name) => name.endsWith('.ts') && !name.startsWith('dev'))) {
    const text = readFileSync(join(ROOT, 'src', file), 'utf8');
    for (const call of EVENT_CALLS) {
      for (const [, event = ''] of text.matchAll(call)) {
        found.add(event);
      }
    }
  }
  return found;
}

describe('log events', () => {
  it('in sources and in the table are the same', () => {
    expect([...loggedEvents()].sort()).to.deep.equal(Object.keys(EVENTS).sort());
  });

  it('are on the page with all their fields', () => {
    const page = readFileSync(join(ROOT, 'docs/operators/log-events.md'), 'utf8');
    for (const [event, { fields }] of Object.entries(EVENTS)) {
      const row = page.split('\n').find((line) => line.startsWith(`| \`${event}\` |`));
      expect(row, event).to.not.equal(undefined);
      for (const field of fields) {
        expect(row, event).to.include(`\`${field}\``);
      }
    }
  });
});
