/** Tables for people. */

/**
 * Renders rows with aligned columns.
 * @param header - Names of the columns.
 * @param rows - Cells of each row.
 */
export function renderTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  const lines = all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
