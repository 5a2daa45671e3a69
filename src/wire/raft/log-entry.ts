/** One entry of the replicated log. */
import * as restructure from 'restructure';
import type { LogEntry } from '../../consensus/types.js';
import { bytes, choice, safeInteger } from '../fields.js';

export const logEntry: restructure.FieldType<LogEntry> = new restructure.Struct<LogEntry>({
  index: safeInteger,
  term: safeInteger,
  kind: choice(['command', 'membership', 'noop'] as const),
  data: bytes,
});
