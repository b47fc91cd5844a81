import {encodeHtml} from './escape-html.js';
import type {ReportPage} from './fetch-day.js';
import {formatEnd, formatTime, type ReportPeriod} from './report-period.js';

const labelWidth = 190;
const lineWidth = 580;
const rowHeight = 24;
const hourMs = 3_600_000;
const hours = [0, 3, 6, 9, 12, 15, 18, 21, 24];
const maxLabelCharacters = 26;

/** Renders the day with a row per entry that left periods without figures and per failure domain out of service. */
export const renderTimeLine = (page: ReportPage): string => {
	const {period, domainsOut} = page;
	const entryRows = listRows(page);
	const rows = entryRows.map(({label, spans}, row) => renderLabel(label, row) + spans.map(span => renderSpan(period, {...span, y: row * rowHeight})).join(''));
	const domainRows = domainsOut.map((name, index) => renderDomain(name, rows.length + index, period));
	const height = ((rows.length + domainRows.length) * rowHeight) + 24;
	return [
		`<svg viewBox="0 0 ${labelWidth + lineWidth + 30} ${height}" role="img" aria-label="periods not covered by figures">`,
		'<defs><pattern id="hatch" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)">',
		'<path d="M0 0V6" stroke="#a33" stroke-width="3"/></pattern></defs>',
		...hours.map(hour => renderHour(hour, height)),
		...rows,
		...domainRows,
		...(period.isInProgress ? [`<path class="now" d="M${toX(period.to - period.from)} 0V${height - 20}"/>`] : []),
		'</svg>',
	].join('');
};

type Span = {from: number; to: number};

const listRows = ({report, period, hasFigures}: ReportPage): Array<{label: string; spans: Span[]}> => {
	const entryIds = [...new Set(report.gaps.map(({entryId}) => entryId))].sort();
	const wholeDay = hasFigures ? [] : [{label: 'all entries', spans: [period]}];
	return [...wholeDay, ...entryIds.map(label => ({label, spans: report.gaps.filter(({entryId}) => entryId === label)}))];
};

const renderHour = (hour: number, height: number): string => {
	const x = toX(hour * hourMs);
	return `<path class="grid" d="M${x} 0V${height - 20}"/><text class="tick" x="${x}" y="${height - 6}" text-anchor="middle">${String(hour).padStart(2, '0')}:00</text>`;
};

const renderLabel = (text: string, row: number): string =>
	`<text x="0" y="${(row * rowHeight) + 16}">${encodeHtml(text.length > maxLabelCharacters ? `${text.slice(0, maxLabelCharacters)}…` : text)}</text>`;

const renderSpan = (period: ReportPeriod, {from, to, y}: Span & {y: number}): string => {
	const x = toX(from - period.from);
	const title = `<title>${formatTime(from)} to ${formatEnd(to, period)}</title>`;
	return `<rect class="gap" x="${x}" y="${y + 4}" width="${Math.max(toX(to - period.from) - x, 2)}" height="16">${title}</rect>`;
};

/** The availability object has no times, so a failure domain out of service is marked only at the end of a day in progress. */
const renderDomain = (name: string, row: number, period: ReportPeriod): string => {
	const y = (row * rowHeight) + 16;
	const mark = period.isInProgress ? `<circle class="out" cx="${toX(period.to - period.from)}" cy="${y - 4}" r="5"/>` : '';
	return `${renderLabel(name, row)}${mark}<text class="tick" x="${labelWidth + 4}" y="${y}">out of service when this page was made; times are not recorded</text>`;
};

const toX = (offsetMs: number): number => Math.round(labelWidth + (Math.min(Math.max(offsetMs / (24 * hourMs), 0), 1) * lineWidth));
