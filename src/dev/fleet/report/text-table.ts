/** Text tables for a terminal. */
import { alignColumns, COLUMN_GAP, columnWidths } from '../../../text/columns.js';

const NUMERIC_CELL = /^[\d.,\s–-]*$/;

/** Formats a table with a header; numeric columns are right-aligned. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const table = [head, ...rows];
  const isNumeric = head.map((_, column) => rows.every((row) => NUMERIC_CELL.test(row[column] ?? '')));
  const [title = '', ...lines] = alignColumns(table, (column) => (isNumeric[column] ? 'right' : 'left'));
  const rule = columnWidths(table)
    .map((width) => '-'.repeat(width))
    .join(COLUMN_GAP);
  return [title, rule, ...lines].join('\n');
}
