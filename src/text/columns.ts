/** Aligns text in columns, for terminals and reports. */

export type Alignment = 'left' | 'right';

export const COLUMN_GAP = '  ';

/** Width of the widest cell of each column; the first row determines the number of columns. */
export function columnWidths(rows: readonly (readonly string[])[]): number[] {
  const [head = []] = rows;
  return head.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
}

/** Formats each row as a line without trailing blanks. */
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

/** Alignment of the first column (names) to the left and of the others (numbers) to the right. */
export function numericColumnAlignment(column: number): Alignment {
  return column === 0 ? 'left' : 'right';
}

function alignCell(cell: string, width: number, alignment: Alignment): string {
  return alignment === 'left' ? cell.padEnd(width) : cell.padStart(width);
}
