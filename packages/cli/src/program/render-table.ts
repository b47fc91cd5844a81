/** Renders rows with aligned columns. */
export const renderTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
	const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)));
	return [header, ...rows]
		.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
};
