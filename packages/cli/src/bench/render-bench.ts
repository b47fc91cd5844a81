import {renderTable} from '../program/render-table.js';
import {
	describeTarget, formatValue, type BenchReport, type BenchRun, type DeploymentReport,
} from './bench-report.js';

/** Describes a run in tables and plots by its policy, marked when the load has no long prompts. */
export const describeRun = ({policy, hasLong}: BenchRun): string => hasLong ? policy : `${policy} (no long)`;

const renderClasses = (runs: readonly BenchRun[]): string => renderTable(
	['load', 'policy', ...runs[0]!.figures.classes.flatMap(({name}) => [`${name} median`, 'p95'])],
	runs.map(run => [
		`${run.load * 100}%`,
		describeRun(run),
		...run.figures.classes.flatMap(({medianMs, p95Ms, requests}) => requests === 0 ? ['-', '-'] : [`${formatValue(medianMs)}`, `${formatValue(p95Ms)}`]),
	]),
);

const renderOutcomes = (runs: readonly BenchRun[]): string => renderTable(
	['load', 'policy', 'requests', 'in time', 'good k tokens/s', 'good req/s', 'late', 'starved long', 'refused long', 'crashes', 'fairness'],
	runs.map(run => {
		const {requests, completed, goodTokensPerSecond, goodRequestsPerSecond, late, starvedLong, admittedLong, refusedLong, fairness} = run.figures;
		return [
			`${run.load * 100}%`,
			describeRun(run),
			String(requests),
			String(completed),
			formatValue(goodTokensPerSecond / 1000),
			formatValue(goodRequestsPerSecond),
			String(late),
			`${starvedLong} of ${admittedLong}`,
			String(refusedLong),
			String(run.crashes),
			fairness.toFixed(3),
		];
	}),
);

const renderRefusalsAndFailures = (runs: readonly BenchRun[]): string => runs.flatMap(run => [
	...run.figures.refusals.map(({reason, count, medianMs, maxMs}) =>
		`${run.load * 100}% ${describeRun(run)}: ${count} refused with ${reason}, after a median of ${formatValue(medianMs)} ms and at most ${formatValue(maxMs)} ms`),
	...Object.entries(run.figures.failures).map(([reason, count]) => `${run.load * 100}% ${describeRun(run)}: ${count} failed with ${reason}`),
]).join('\n');

const renderDeployment = ({deployment, runs, targets, notes}: DeploymentReport): string => [
	`deployment ${deployment}`,
	'',
	'Time to first token in ms by prompt length',
	renderClasses(runs),
	'',
	renderOutcomes(runs),
	'',
	renderRefusalsAndFailures(runs),
	...notes,
	'',
	...targets.map(target => describeTarget(target)),
].join('\n');

/** Renders the report as text for a terminal. */
export const renderBench = (report: BenchReport): string => [
	`scenario ${report.scenario}, ${report.mode}, seed ${report.seed}, ${formatValue(report.durationMs / 1000)} s of load`,
	...report.deployments.flatMap(deployment => ['', renderDeployment(deployment)]),
].join('\n');
