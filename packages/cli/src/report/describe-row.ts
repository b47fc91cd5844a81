import {
	inTimeGoal, isCallerReason, type DayReport, type ReportClass, type ReportRow,
} from '@knapweedrack/core';

/** Formats a share in percent, rounded down, so that 99.99% is not shown as all. */
export const formatShare = (share: number | undefined): string => share === undefined ? '-' : `${Math.floor(share * 1000) / 10}%`;

/** Formats a time in ms. */
export const formatDuration = (ms: number | undefined): string => {
	if (ms === undefined) {
		return '-';
	}

	return ms < 1000 ? `${Math.round(ms)} ms` : `${Math.round(ms / 100) / 10} s`;
};

/** Names a prompt-length class by its limit in tokens. */
export const formatClass = (lengthClass: number): string => {
	const limit = 4 ** (lengthClass + 1);
	return limit < 1000 ? `below ${limit} thousand tokens` : `below ${Math.round(limit / 100) / 10} million tokens`;
};

/** States in words whether a workspace went well, or what did not and why. */
export const describeRow = (row: ReportRow, report: DayReport): string => {
	if (!row.wentWell) {
		return describeFailures(row);
	}

	if (!report.isCovered) {
		return row.requests === 0 ? 'not certain: there are no figures of it' : 'not certain: the figures that exist show no failure';
	}

	if (row.planId === undefined) {
		return 'no failure, but the workspace is not in the lists, so there is no plan to compare with';
	}

	return row.requests === 0 ? 'no requests' : 'went well';
};

/** Formats the number of requests by reason, the most frequent first. */
export const formatReasons = (reasons: ReadonlyArray<[string, number]>): string =>
	[...reasons].sort(([, a], [, b]) => b - a).map(([reason, count]) => `${reason} ${count}`).join(', ');

/** Targets of a class; the shortest prompts come first. */
const formatTargets = ({targetsMs}: ReportClass): string =>
	targetsMs.length === 0 ? '-' : targetsMs.map(targetMs => formatDuration(targetMs)).join(', ');

/** Formats one class: prompts, requests, share in time, time of 95% of the requests, target. */
export const formatClassCells = (group: ReportClass): string[] => [
	formatClass(group.lengthClass),
	String(group.requests),
	formatShare(group.inTimeShare),
	formatDuration(group.firstTokenP95Ms),
	formatTargets(group),
];

const describeFailures = ({missed, late, inTimeShare, reasons}: ReportRow): string => {
	const causes = Object.entries(reasons).filter(([reason]) => !isCallerReason(reason));
	return `did not go well: ${[
		...(missed > 0 ? [`${missed} requests not served (${formatReasons(causes) || 'no reason recorded'})`] : []),
		...(late > 0 ? [`${late} late`] : []),
		...((inTimeShare ?? 1) < inTimeGoal ? [`first token in time for ${formatShare(inTimeShare)}, goal ${formatShare(inTimeGoal)}`] : []),
	].join('; ')}`;
};
