import { appendFileSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { JournalTail } from '../../../src/dev/journal/journal-tail.js';

describe('JournalTail', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-journal-'));
  });

  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  it('returns each record once, and a line only when it is complete', () => {
    const file = join(folder, 'j.jsonl');
    const tail = new JournalTail(file);
    expect(tail.read()).to.deep.equal([]);
    appendFileSync(file, '{"at":1}\n{"at":');
    expect(tail.read()).to.deep.equal([{ at: 1 }]);
    appendFileSync(file, '2}\n{"at":3}\n');
    expect(tail.read()).to.deep.equal([{ at: 2 }, { at: 3 }]);
    expect(tail.read()).to.deep.equal([]);
  });
});
