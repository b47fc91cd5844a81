import type {ReportClass} from '@knapweedrack/core';
import {encodeHtml} from './escape-html.js';
import {formatClass, formatDuration} from './describe-row.js';

const labelWidth = 190;
const plotWidth = 480;
const rowHeight = 26;
const lowestMs = 10;
const highestMs = 1_000_000;
const ticks = [10, 100, 1000, 10_000, 100_000, 1_000_000];

/** Renders the time to first token by prompt-length class: a bar up to 95% of the requests with a mark at the median. */
export const renderFirstTokenPlot = (classes: readonly ReportClass[]): string => {
	const measured = classes.filter(({firstTokenP95Ms}) => firstTokenP95Ms !== undefined);
	if (measured.length === 0) {
		return '<p>No first token was recorded.</p>';
	}

	const height = (measured.length * rowHeight) + 24;
	return [
		`<svg viewBox="0 0 ${labelWidth + plotWidth + 130} ${height}" role="img" aria-label="time to first token by prompt length">`,
		...ticks.map(ms => `<path class="grid" d="M${toX(ms)} 0V${height - 20}"/><text class="tick" x="${toX(ms)}" y="${height - 6}" text-anchor="middle">${formatDuration(ms)}</text>`),
		...measured.map((reportClass, row) => renderBar(reportClass, row * rowHeight)),
		'</svg>',
	].join('');
};

const renderBar = ({lengthClass, requests, firstTokenP50Ms, firstTokenP95Ms}: ReportClass, y: number): string => [
	`<text x="0" y="${y + 17}">${encodeHtml(formatClass(lengthClass))}</text>`,
	`<rect class="bar" x="${labelWidth}" y="${y + 5}" width="${toX(firstTokenP95Ms!) - labelWidth}" height="16"/>`,
	`<path class="median" d="M${toX(firstTokenP50Ms!)} ${y + 3}v20"/>`,
	`<text x="${toX(firstTokenP95Ms!) + 6}" y="${y + 17}">${formatDuration(firstTokenP95Ms)} (${requests})</text>`,
].join('');

/** Converts a time to an x position on a logarithmic scale, since prompt lengths differ by a factor of a thousand. */
const toX = (ms: number): number => {
	const share = Math.log(Math.min(Math.max(ms, lowestMs), highestMs) / lowestMs) / Math.log(highestMs / lowestMs);
	return Math.round(labelWidth + (share * plotWidth));
};
