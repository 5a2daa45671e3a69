/** Renders results as text: one row for each measure, one column for each arm. */
import { alignColumns, numericColumnAlignment } from '../../../text/columns.js';
import type { ExperimentResult, Measure } from '../experiment.js';
import { spreadOf } from '../statistics.js';

const BASELINE_MARK = ' (baseline)';

/** Formats a number with about three significant digits. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) {
    return '-';
  }
  const size = Math.abs(value);
  if (size >= 100 || Number.isInteger(value)) {
    return value.toFixed(0);
  }
  return value.toFixed(size >= 10 ? 1 : size >= 1 ? 2 : 3);
}

/** Formats the median and range of a measure, for example `12.3 [11.8-14.0]`. */
export function formatSpread(values: readonly number[]): string {
  if (values.length === 0) {
    return '-';
  }
  const { median, lowest, highest } = spreadOf(values);
  if (lowest === highest) {
    return formatNumber(median);
  }
  return `${formatNumber(median)} [${formatNumber(lowest)}-${formatNumber(highest)}]`;
}

function measureTitle(measure: Measure): string {
  return measure.unit === '' ? measure.name : `${measure.name}, ${measure.unit}`;
}

/** Returns the measures of all arms in the order in which they first appear. */
function measureRows({ arms }: ExperimentResult): string[][] {
  const titles = [...new Set(arms.flatMap(({ measures }) => measures.map(measureTitle)))];
  return titles.map((title) => [
    title,
    ...arms.map(({ measures }) => {
      const measure = measures.find((candidate) => measureTitle(candidate) === title);
      return measure === undefined ? '' : formatSpread(measure.values);
    }),
  ]);
}

/** Renders the whole result as it is printed. */
export function renderTable(title: string, result: ExperimentResult): string {
  const head = ['', ...result.arms.map(({ arm, baseline }) => `${arm}${baseline ? BASELINE_MARK : ''}`)];
  const lines = [title, '', ...alignColumns([head, ...measureRows(result)], numericColumnAlignment)];
  if (result.targets.length > 0) {
    const rows = result.targets.map(({ target, wanted, reached, met }) => [
      target,
      wanted,
      reached,
      met ? 'met' : 'NOT MET',
    ]);
    lines.push('', ...alignColumns([['target', 'wanted', 'reached', ''], ...rows], numericColumnAlignment));
  }
  lines.push('', ...result.notes.map((note) => `- ${note}`));
  return `${lines.join('\n')}\n`;
}
