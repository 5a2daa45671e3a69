/** Reads the journals written by the processes of a fleet. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { JournalRecord } from './records.js';

const JOURNAL_SUFFIX = '.jsonl';

/** Thrown when a line other than the last can't be parsed. */
export class JournalDamagedError extends TernmountError {
  constructor(file: string, line: number, cause: Error) {
    const options = { code: 'TERNMOUNT_JOURNAL_DAMAGED', retriable: false, cause, info: { file, line } };
    super(options, `${file}:${line} isn't a journal record`);
  }
}

/** Returns the records of one journal, without an incomplete last line, which a kill may leave behind. */
export function readJournal(file: string): JournalRecord[] {
  const text = readFileSync(file, 'utf8');
  const lines = text.split('\n');
  lines.pop();
  return lines.map((line, index) => {
    try {
      return JSON.parse(line) as JournalRecord;
    } catch (thrown) {
      throw new JournalDamagedError(file, index + 1, toError(thrown));
    }
  });
}

/** Returns the records of every journal in `folder`, ordered by time. */
export function readJournals(folder: string): JournalRecord[] {
  if (!existsSync(folder)) {
    return [];
  }
  const files = readdirSync(folder)
    .filter((name) => name.endsWith(JOURNAL_SUFFIX))
    .sort();
  const records = files.flatMap((name) => readJournal(join(folder, name)));
  return records.sort((left, right) => left.at - right.at);
}
