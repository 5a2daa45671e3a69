/** Lines of text in columns, for terminals and reports. */

/** Where a column's shorter cells stand. */
export type Alignment = 'left' | 'right';

export const COLUMN_GAP = '  ';

/** Characters of the widest cell of each column; the first row says how many columns there are. */
export function columnWidths(rows: readonly (readonly string[])[]): number[] {
  const [head = []] = rows;
  return head.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
}

/** A line for each row. Blanks at the end of a line are left out. */
export function alignColumns(
  rows: readonly (readonly string[])[],
  alignmentOf: (column: number) => Alignment,
): string[] {
  const widths = columnWidths(rows);
  return rows.map((row) =>
    row
      .map((cell, column) => alignCell(cell, widths[column] ?? 0, alignmentOf(column)))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

/** The first column holds names, the others numbers. */
export function namesThenNumbers(column: number): Alignment {
  return column === 0 ? 'left' : 'right';
}

function alignCell(cell: string, width: number, alignment: Alignment): string {
  return alignment === 'left' ? cell.padEnd(width) : cell.padStart(width);
}
