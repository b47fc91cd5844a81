/** Sums the values of a lane and of all lanes of longer prompts. */
export const computeSumFrom = (values: readonly number[], lane: number): number =>
	values.slice(lane).reduce((sum, value) => sum + value, 0);

/** Sums the values of a lane and of all lanes of shorter prompts. */
export const computeSumUpTo = (values: readonly number[], lane: number): number =>
	values.slice(0, lane + 1).reduce((sum, value) => sum + value, 0);
