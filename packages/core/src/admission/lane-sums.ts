/** Sum over a lane and all longer ones. */
export const computeSumFrom = (values: readonly number[], lane: number): number =>
	values.slice(lane).reduce((sum, value) => sum + value, 0);

/** Sum over a lane and all shorter ones. */
export const computeSumUpTo = (values: readonly number[], lane: number): number =>
	values.slice(0, lane + 1).reduce((sum, value) => sum + value, 0);
