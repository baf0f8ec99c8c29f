/** Text and JSON output of the commands. */

/** Writes a value as indented JSON with a final line end. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

/** Writes rows as left-aligned columns under a header line. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number | boolean)[])[],
): string {
  const lines = [header, ...rows.map(row => row.map(String))];
  const widths = header.map((_, column) =>
    Math.max(...lines.map(line => (line[column] ?? '').length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}

/** Epoch milliseconds as ISO 8601 text in UTC. */
export function formatTime(epochMs: number): string {
  return new Date(epochMs).toISOString();
}
