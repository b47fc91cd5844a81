import type {RunFigures} from '@knapweedrack/testkit';

/** One run of a scenario. */
export type BenchRun = {
	policy: string;
	/** Share of the capacity that was offered. */
	load: number;
	hasLong: boolean;
	figures: RunFigures;
	/** Crashes of cold engines that were given too much. */
	crashes: number;
};

/** A target and what was measured. */
export type BenchTarget = {
	name: string;
	limit: number;
	direction: 'at most' | 'at least';
	unit: string;
	value: number;
	isMet: boolean;
};

/** Figures of one deployment. */
export type DeploymentReport = {
	deployment: string;
	runs: BenchRun[];
	targets: BenchTarget[];
	/** Further figures of the scenario. */
	notes: string[];
};

/** Result of `bench`. */
export type BenchReport = {
	scenario: string;
	mode: 'virtual time' | 'processes';
	seed: number;
	durationMs: number;
	deployments: DeploymentReport[];
	isMet: boolean;
};

/** Compares a measured value with its target. */
export const buildTarget = (target: Omit<BenchTarget, 'isMet'>): BenchTarget => ({
	...target,
	isMet: target.direction === 'at most' ? target.value <= target.limit : target.value >= target.limit,
});

/** Says how far a target was met or missed. */
export const describeTarget = ({name, limit, direction, unit, value, isMet}: BenchTarget): string => {
	const distance = limit === 0 ? '' : ` by ${Math.abs(((value / limit) - 1) * 100).toFixed(1)}%`;
	return `${isMet ? 'met   ' : 'MISSED'}  ${name}: ${formatValue(value)}${unit}, target ${direction} ${limit}${unit}${isMet ? '' : `, missed${distance}`}`;
};

/** Formats a figure with three significant digits. */
export const formatValue = (value: number): string => Math.abs(value) >= 100 || Number.isInteger(value) ? value.toFixed(0) : value.toPrecision(3);
