import {
	inTimeGoal, isCallerReason, type DayReport, type ReportClass, type ReportRow,
} from '@knapweedrack/core';

/** Formats a share in percent, rounded down, so that 99.99% is not shown as 100%. */
export const formatShare = (share: number | undefined): string => share === undefined ? '-' : `${Math.floor(share * 1000) / 10}%`;

/** Formats a time given in ms; from 1000 ms on it is shown in seconds. */
export const formatDuration = (ms: number | undefined): string => {
	if (ms === undefined) {
		return '-';
	}

	return ms < 1000 ? `${Math.round(ms)} ms` : `${Math.round(ms / 100) / 10} s`;
};

/** Formats a prompt-length class by its upper limit in tokens. */
export const formatClass = (lengthClass: number): string => {
	const limit = 4 ** (lengthClass + 1);
	return limit < 1000 ? `below ${limit} thousand tokens` : `below ${Math.round(limit / 100) / 10} million tokens`;
};

/** Describes whether the day went well for a workspace, and otherwise what failed and why. */
export const describeRow = (row: ReportRow, report: DayReport): string => {
	if (!row.wentWell) {
		return describeFailures(row);
	}

	if (!report.isCovered) {
		return row.requests === 0 ? 'not certain: there are no figures for this workspace' : 'not certain: the figures that exist show no failure';
	}

	if (row.planId === undefined) {
		return 'no failure, but the workspace is not in the lists, so there is no plan to compare with';
	}

	return row.requests === 0 ? 'no requests' : 'went well';
};

/** Formats the number of requests by reason, the most frequent first. */
export const formatReasons = (reasons: ReadonlyArray<[string, number]>): string =>
	[...reasons].sort(([, a], [, b]) => b - a).map(([reason, count]) => `${reason} ${count}`).join(', ');

/** Formats the targets of a class; the target of the shortest prompts comes first. */
const formatTargets = ({targetsMs}: ReportClass): string =>
	targetsMs.length === 0 ? '-' : targetsMs.map(targetMs => formatDuration(targetMs)).join(', ');

/** Formats one class as cells: prompt length, requests, share in time, 95th percentile of the time to first token, targets. */
export const formatClassCells = (reportClass: ReportClass): string[] => [
	formatClass(reportClass.lengthClass),
	String(reportClass.requests),
	formatShare(reportClass.inTimeShare),
	formatDuration(reportClass.firstTokenP95Ms),
	formatTargets(reportClass),
];

const describeFailures = ({missed, late, inTimeShare, reasons}: ReportRow): string => {
	const causes = Object.entries(reasons).filter(([reason]) => !isCallerReason(reason));
	return `did not go well: ${[
		...(missed > 0 ? [`${missed} requests not served (${formatReasons(causes) || 'no reason recorded'})`] : []),
		...(late > 0 ? [`${late} late`] : []),
		...((inTimeShare ?? 1) < inTimeGoal ? [`first token in time for ${formatShare(inTimeShare)}, goal ${formatShare(inTimeGoal)}`] : []),
	].join('; ')}`;
};
