/** Writes the result of an experiment: the table, all values as JSON, and the plot. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExperimentResult } from '../experiment.js';
import { renderPlot } from './plot.js';
import { renderTable } from './table.js';

/** Describes the run that a report covers. */
export interface ReportHead {
  readonly experiment: string;
  readonly summary: string;
  readonly deployment: string;
  readonly seeds: readonly number[];
}

/** Writes `EXPERIMENT-DEPLOYMENT.txt`, `.json` and `.svg` to `folder`; returns the table. */
export async function writeReport(
  folder: string,
  head: ReportHead,
  result: ExperimentResult,
): Promise<string> {
  const title = `${head.experiment} on ${head.deployment}, ${head.seeds.length} seeds: ${head.summary}`;
  const table = renderTable(title, result);
  const base = join(folder, `${head.experiment}-${head.deployment}`);
  mkdirSync(folder, { recursive: true });
  writeFileSync(`${base}.txt`, table);
  writeFileSync(`${base}.json`, `${JSON.stringify({ ...head, ...result }, null, 2)}\n`);
  writeFileSync(`${base}.svg`, await renderPlot(title, result));
  return table;
}
