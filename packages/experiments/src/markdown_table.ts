/**
 * Renders a Markdown table.
 * @param header - Column names.
 * @param rows - Cells by row.
 */
export function renderMarkdownTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
