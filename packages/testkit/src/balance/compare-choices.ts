import {runBalance, type BalanceResult} from './balance-run.js';
import {choices, type ChoiceName} from './choices.js';

const seeds = [1, 2];

/** One cell of the comparison: means over the seeds. */
export type ComparedCell = {choice: ChoiceName; entries: number; ageMs: number} & Pick<BalanceResult, 'busiestToMean' | 'p95Ms' | 'collisions' | 'lateShort' | 'latePauses'>;

const figures = ['busiestToMean', 'p95Ms', 'collisions', 'lateShort', 'latePauses'] as const;

/** Runs all choices on a quiet load with one burst: 54 engines of 8 slots, 70 short and 6 long prompts a second, 20 s. */
export const compareChoices = (entryCounts: readonly number[], agesMs: readonly number[]): ComparedCell[] =>
	entryCounts.flatMap(entries => agesMs.flatMap(ageMs => (Object.keys(choices) as ChoiceName[]).map(choice => runCell(choice, entries, ageMs))));

const runCell = (choice: ChoiceName, entries: number, ageMs: number): ComparedCell => {
	const runs = seeds.map(seed => runBalance({
		entries, servers: 54, ageMs, durationMs: 20_000, shortPerSecond: 70, burst: 2.5, longPerSecond: 6, seed,
	}, choices[choice]));
	const means = figures.map(figure => [figure, runs.reduce((sum, run) => sum + run[figure], 0) / runs.length]);
	return {
		choice, entries, ageMs, ...Object.fromEntries(means) as Pick<BalanceResult, (typeof figures)[number]>,
	};
};

/** Renders cells as a table with one row for each choice: busiest/mean, p95 of the time to first token in ms, collisions. */
export const renderComparison = (cells: readonly ComparedCell[]): string => {
	const columns = [...new Set(cells.map(({entries, ageMs}) => `M ${entries}, A ${ageMs}`))];
	const rows = (Object.keys(choices) as ChoiceName[]).map(choice => [choice, ...cells
		.filter(cell => cell.choice === choice)
		.map(({busiestToMean, p95Ms, collisions}) => `${busiestToMean.toFixed(2)} / ${Math.round(p95Ms)} / ${Math.round(collisions)}`)]);
	return [['choice', ...columns], [...columns.map(() => '---'), '---'], ...rows].map(row => `| ${row.join(' | ')} |`).join('\n');
};
