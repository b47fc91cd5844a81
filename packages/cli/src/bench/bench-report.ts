import type {RunFigures} from '@knapweedrack/testkit';

/** One run of a scenario. */
export type BenchRun = {
	policy: string;
	/** Offered load as a share of the capacity. */
	load: number;
	hasLong: boolean;
	figures: RunFigures;
	/** Crashes of cold engines that received more load than they can take. */
	crashes: number;
};

/** A target and the measured value. */
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

/** Describes whether a target was met, and by how much it was missed. */
export const describeTarget = ({name, limit, direction, unit, value, isMet}: BenchTarget): string => {
	const distance = limit === 0 ? '' : ` by ${Math.abs(((value / limit) - 1) * 100).toFixed(1)}%`;
	return `${isMet ? 'met   ' : 'MISSED'}  ${name}: ${formatValue(value)}${unit}, target ${direction} ${limit}${unit}${isMet ? '' : `, missed${distance}`}`;
};

/** Formats whole numbers and values from 100 without decimals, others with three significant digits. */
export const formatValue = (value: number): string => Math.abs(value) >= 100 || Number.isInteger(value) ? value.toFixed(0) : value.toPrecision(3);
