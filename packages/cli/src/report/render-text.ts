import type {DayReport, ReportRow} from '@knapweedrack/core';
import {renderTable} from '../program/render-table.js';
import {
	describeRow, formatClassInTime, formatReasons, formatShare,
} from './describe-row.js';
import type {ReportPage} from './fetch-day.js';
import {formatEnd, formatTime} from './report-period.js';

/** Renders the report for a terminal; the first line says whether the day went well. */
export const renderReportText = ({report, period, domainsOut}: ReportPage): string => [
	report.sentence,
	`Times are UTC. Figures from 00:00 to ${formatEnd(period.to, period)}.`,
	...report.missing.map(text => `missing: ${text}`),
	...report.gaps.map(({entryId, epoch, from, to}) => `not covered: ${entryId} (${epoch}) from ${formatTime(from)} to ${formatEnd(to, period)}`),
	...domainsOut.map(name => `failure domain ${name} is out of service now; the availability has no times`),
	'',
	renderTable(
		['workspace', 'plan', 'admitted', 'in time', 'late', 'failed', 'unknown', 'refused and failed by reason', 'result'],
		report.rows.map(row => buildCells(row, report)),
	),
	...report.rows.flatMap(({workspaceId, classes}) => classes.map(group => `${workspaceId}, prompts ${formatClassInTime(group)}`)),
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
