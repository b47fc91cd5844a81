const dayMs = 86_400_000;

/**
 * An entry writes a summary each minute, so the latest two minutes of a day in progress have no figures yet and are
 * left out instead of being shown as a gap.
 */
const writeDelayMs = 120_000;

/** The part of a day that the report covers; wall clock ms. */
export type ReportPeriod = {
	day: string;
	from: number;
	/** End of the day, or of what can have been written of a day in progress. */
	to: number;
	isInProgress: boolean;
};

/** Parses a UTC day `YYYY-MM-DD`; undefined when there is no such day. */
export const parseReportPeriod = (day: string, now: number): ReportPeriod | undefined => {
	const from = /^\d{4}-\d{2}-\d{2}$/v.test(day) ? Date.parse(`${day}T00:00:00Z`) : Number.NaN;
	// Some JavaScript engines parse 2026-02-30 as a day in March.
	if (Number.isNaN(from) || new Date(from).toISOString().slice(0, 10) !== day) {
		return undefined;
	}

	const to = Math.max(from, Math.min(from + dayMs, now - writeDelayMs));
	return {
		day, from, to, isInProgress: now < from + dayMs,
	};
};

/** Formats a wall clock time as UTC hour and minute. */
export const formatTime = (time: number): string => new Date(time).toISOString().slice(11, 16);

/** Formats the end of a period; the end of the day is 24:00. */
export const formatEnd = (time: number, {from}: ReportPeriod): string => time === from + dayMs ? '24:00' : formatTime(time);

/** Describes which part of the day the report covers. */
export const describePeriod = (period: ReportPeriod): string => period.isInProgress
	? `Times are UTC. The day is not over; figures are complete up to ${formatEnd(period.to, period)} except where stated.`
	: 'Times are UTC. Figures of the whole day except where stated.';
