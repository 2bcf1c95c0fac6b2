/** Tables for the docs. */

/**
 * Renders a Markdown table.
 * @param header - Names of the columns.
 * @param rows - Cells of each row.
 */
export function renderMarkdownTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
