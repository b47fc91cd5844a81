import type {DayReport, ReportRow} from '@knapweedrack/core';
import {renderTable} from '../program/render-table.js';
import {
	describeRow, formatClassCells, formatReasons, formatShare,
} from './describe-row.js';
import type {ReportPage} from './fetch-day.js';
import {describePeriod, formatEnd, formatTime} from './report-period.js';

/** Renders the report for a terminal; the first line says whether the day went well. */
export const renderReportText = ({report, period, domainsOut}: ReportPage): string => [
	report.sentence,
	describePeriod(period),
	...report.missing.map(text => `missing: ${text}`),
	...report.gaps.map(({entryId, epoch, from, to}) => `not covered: ${entryId} (${epoch}) from ${formatTime(from)} to ${formatEnd(to, period)}`),
	...domainsOut.map(name => `failure domain ${name} is out of service now; times are not recorded`),
	'',
	renderTable(
		['workspace', 'plan', 'admitted', 'in time', 'late', 'failed', 'unknown', 'refused and failed by reason', 'result'],
		report.rows.map(row => buildCells(row, report)),
	),
	'',
	'time to first token by prompt length:',
	renderTable(
		['workspace', 'prompts', 'requests', 'in time', '95% within', 'target'],
		report.rows.flatMap(({workspaceId, classes}) => classes.map(reportClass => [workspaceId, ...formatClassCells(reportClass)])),
	),
].join('\n');

const buildCells = (row: ReportRow, report: DayReport): string[] => [
	row.workspaceId,
	row.planId ?? 'none',
	String(row.admitted),
	formatShare(row.inTimeShare),
	String(row.late),
	String(row.failed),
	String(row.unknown),
	formatReasons(Object.entries(row.reasons)) || '-',
	describeRow(row, report),
];
