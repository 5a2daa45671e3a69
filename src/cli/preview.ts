/** Shows the effect of a change, for `--dry-run`. */
import type { DocumentMap } from '../settings/definition-writer.js';
import type { CliIo } from './cli-io.js';
import type { OptionSpec } from './command-spec.js';
import { differenceLines } from './difference.js';

export const DRY_RUN_OPTION: OptionSpec = {
  name: 'dry-run',
  summary: 'Show the difference and change nothing',
};

/** An object before and after a change; `null` if it doesn't exist. */
export interface Preview {
  readonly before: DocumentMap | null;
  readonly after: DocumentMap | null;
  /** Current revision of the object; `null` if it has none. */
  readonly revision: number | null;
}

/** Writes the difference, one line per value. */
export function writePreview(io: CliIo, subject: string, preview: Preview): void {
  const { before, after, revision } = preview;
  const place = revision === null ? '' : ` (revision ${revision})`;
  const state = before === null ? ' (new)' : place;
  const difference = differenceLines(before, after);
  const lines = difference.length === 0 ? ['unchanged'] : difference;
  io.write(`${subject}${state}\n${lines.map((line) => `  ${line}\n`).join('')}`);
}
