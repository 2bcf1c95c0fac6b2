/** Plain-text tables for terminals. */

/**
 * Renders a table with left-aligned columns.
 * @param header - Column titles.
 * @param rows - Cells of each row, as many as there are columns.
 */
export function renderTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map(row => row[column].length)),
  );
  const lines = allRows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
