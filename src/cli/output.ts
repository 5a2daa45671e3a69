/** Writes query results as a table for people, or as JSON or YAML for programs. */
import { stringify } from 'yaml';
import { alignColumns, COLUMN_GAP } from '../text/columns.js';
import type { CliIo } from './cli-io.js';
import type { OptionSpec } from './command-spec.js';
import type { ParsedOptions } from './parsed-options.js';

/** The values of `--output`. */
export const OUTPUT_FORMATS = ['table', 'json', 'yaml'] as const;

/** One of the output formats. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** The option `--output`. */
export const OUTPUT_OPTION: OptionSpec = {
  name: 'output',
  value: 'format',
  summary: 'table (default), json or yaml',
};

const JSON_INDENT = 2;

/** A column of a table of `Row`. */
export interface Column<Row> {
  readonly title: string;
  readonly value: (row: Row) => string | number | null;
}

/** Returns the requested format. Throws `UsageError`. */
export function outputFormat(options: ParsedOptions): OutputFormat {
  return options.choice('output', OUTPUT_FORMATS, 'table');
}

/** Formats rows in columns. */
export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  const cells = rows.map((row) => columns.map((column) => String(column.value(row) ?? '-')));
  const table = [columns.map((column) => column.title), ...cells];
  const lines = alignColumns(table, () => 'left');
  return `${lines.join('\n')}\n`;
}

/** Formats facts, one per line, as label and value. */
export function formatFacts(facts: readonly (readonly [label: string, value: string])[]): string {
  const width = Math.max(...facts.map(([label]) => label.length));
  return facts.map(([label, value]) => `${label.padEnd(width)}${COLUMN_GAP}${value}\n`).join('');
}

/** Formats a value as JSON or YAML. */
export function formatValue(format: 'json' | 'yaml', value: unknown): string {
  return format === 'json' ? `${JSON.stringify(value, null, JSON_INDENT)}\n` : stringify(value);
}

/** Writes a value in the requested format; `table` returns the text of the table format. */
export function writeOutput(io: CliIo, format: OutputFormat, value: unknown, table: () => string): void {
  io.write(format === 'table' ? table() : formatValue(format, value));
}

/** Formats a duration for people: `850 ms`, `12 s`, `3 min`, `5 h`. */
export function formatMillis(millis: number): string {
  const steps = [
    { limit: 1000, size: 1, unit: 'ms' },
    { limit: 120_000, size: 1000, unit: 's' },
    { limit: 7_200_000, size: 60_000, unit: 'min' },
    { limit: 172_800_000, size: 3_600_000, unit: 'h' },
  ];
  const step = steps.find(({ limit }) => millis < limit) ?? { size: 86_400_000, unit: 'days' };
  return `${Math.floor(millis / step.size)} ${step.unit}`;
}
