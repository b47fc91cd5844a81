import type {DayReport, ReportRow} from '@knapweedrack/core';
import {encodeHtml} from './escape-html.js';
import {
	describeRow, formatClassCells, formatReasons, formatShare,
} from './describe-row.js';
import type {ReportPage} from './fetch-day.js';
import {renderFirstTokenPlot} from './first-token-plot.js';
import {describePeriod, formatEnd, formatTime} from './report-period.js';
import {renderTimeLine} from './time-line.js';

const styles = `
body{font:15px/1.4 system-ui,sans-serif;color:#222;max-width:1100px;margin:24px auto;padding:0 16px}
h1{font-size:22px;line-height:1.3}h2{font-size:17px;margin:28px 0 8px}
table{border-collapse:collapse;width:100%;font-size:13px}
th,td{border-bottom:1px solid #ccc;padding:5px 8px;text-align:left;vertical-align:top}
td{overflow-wrap:break-word}
th{white-space:nowrap}td.number,th.number{text-align:right;overflow-wrap:normal}tr.bad td:first-child{border-left:4px solid #a33}
svg{width:100%;max-width:820px;font:12px system-ui,sans-serif}.grid{stroke:#ddd}.tick{fill:#666}.bar{fill:#7a9cc6}.median{stroke:#123;stroke-width:2}
.gap{fill:url(#hatch);stroke:#a33}.now{stroke:#333;stroke-dasharray:3 3}.out{fill:#a33}
@media print{@page{size:A4 landscape;margin:12mm}
body{margin:0;max-width:none;font-size:10pt}table{font-size:8.5pt}thead{display:table-header-group}h2,h2+p{break-after:avoid}tr,svg{break-inside:avoid}*{print-color-adjust:exact}}
`;

/** Renders the report as one page without scripts and without references to other files. */
export const renderReportHtml = (page: ReportPage): string => {
	const {report, period} = page;
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">',
		`<title>Report of ${report.day}</title><style>${styles}</style></head><body>`,
		`<h1>${encodeHtml(report.sentence)}</h1>`,
		`<p>${describePeriod(period)}</p>`,
		renderList('What is missing', report.missing),
		`<h2>Workspaces</h2>${renderRows(page)}`,
		`<h2>Time to first token by prompt length</h2><p>Bar: 95% of the requests; mark: median; number of requests in brackets.</p>${renderFirstTokenPlot(report.classes)}`,
		renderCoverage(page),
		`<h2>First token in time by prompt length</h2>${renderClasses(report)}`,
		'</body></html>\n',
	].join('\n');
};

const renderCoverage = (page: ReportPage): string => {
	const {report, period, domainsOut, hasFigures} = page;
	if (hasFigures && report.gaps.length === 0 && domainsOut.length === 0) {
		return '<h2>Time line</h2><p>No period without figures is known, and no failure domain was out of service when this page was made.</p>';
	}

	const gaps = report.gaps.map(({entryId, epoch, from, to}) => `${entryId} (process ${epoch}): no figures from ${formatTime(from)} to ${formatEnd(to, period)}`);
	return `<h2>Time line</h2><p>Hatched: not covered by figures; nothing is known about these periods.</p>${renderTimeLine(page)}${renderList('Periods not covered', gaps)}`;
};

const renderList = (title: string, items: readonly string[]): string =>
	items.length === 0 ? '' : `<h2>${title}</h2><ul>${items.map(item => `<li>${encodeHtml(item)}</li>`).join('')}</ul>`;

const renderCells = (texts: readonly string[], tag: 'td' | 'th', className = ''): string =>
	texts.map(text => `<${tag} class="${className}">${encodeHtml(text)}</${tag}>`).join('');

const renderRows = ({report}: ReportPage): string => [
	'<table><thead><tr>',
	renderCells(['Workspace', 'Plan', 'Result'], 'th'),
	renderCells(['Admitted', 'In time', 'Late', 'Failed', 'Unknown'], 'th', 'number'),
	renderCells(['Refused and failed by reason'], 'th'),
	'</tr></thead><tbody>',
	...report.rows.map(row => renderRow(row, report)),
	'</tbody></table>',
].join('\n');

const renderRow = (row: ReportRow, report: DayReport): string => [
	`<tr class="${row.wentWell ? 'good' : 'bad'}">`,
	renderCells([row.workspaceId, row.planId ?? 'none', describeRow(row, report)], 'td'),
	renderCells([String(row.admitted), formatShare(row.inTimeShare), String(row.late), String(row.failed), String(row.unknown)], 'td', 'number'),
	renderCells([formatReasons(Object.entries(row.reasons)) || '-'], 'td'),
	'</tr>',
].join('');

const renderClasses = ({rows}: DayReport): string => [
	'<table><thead><tr>',
	renderCells(['Workspace', 'Prompts'], 'th'),
	renderCells(['Requests', 'In time', '95% within', 'Target'], 'th', 'number'),
	'</tr></thead><tbody>',
	...rows.flatMap(({workspaceId, classes}) => classes.map(reportClass => {
		const [prompts, ...numbers] = formatClassCells(reportClass);
		return `<tr>${renderCells([workspaceId, prompts!], 'td')}${renderCells(numbers, 'td', 'number')}</tr>`;
	})),
	'</tbody></table>',
].join('\n');
