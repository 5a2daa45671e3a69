/** Tables for a terminal. */

/** Rows under a head; numbers stand to the right. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => (row[column] ?? '').length)),
  );
  const isNumeric = head.map((_, column) => rows.every((row) => /^[\d.,\s–-]*$/.test(row[column] ?? '')));
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return isNumeric[column] ? cell.padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  const rule = widths.map((width) => '-'.repeat(width)).join('  ');
  return [line(head), rule, ...rows.map(line)].join('\n');
}
