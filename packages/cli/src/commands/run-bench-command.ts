import {writeFile} from 'node:fs/promises';
import {createOk} from '@knapweedrack/core';
import {simulatedDeployments, type DeploymentName} from '@knapweedrack/testkit';
import type {BenchReport} from '../bench/bench-report.js';
import {benchScenarios} from '../bench/bench-scenarios.js';
import {runProcessBench} from '../bench/run-processes.js';
import {renderBench} from '../bench/render-bench.js';
import {renderBenchHtml} from '../bench/render-html.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';
import {fullDurationS, processDurationS, quickDurationS} from './bench-command.js';

const getDurationS = ({processes, quick}: BenchOptions): number => {
	if (processes) {
		return processDurationS;
	}

	return quick ? quickDurationS : fullDurationS;
};

type BenchOptions = {seed: number; quick?: boolean; deployment?: string; durationS?: number; html?: string; processes?: boolean};

const listDeployments = ({deployment, quick}: BenchOptions): DeploymentName[] => {
	const names = Object.keys(simulatedDeployments) as DeploymentName[];
	const selected = names.filter(name => deployment === undefined || name === deployment);
	return quick === true ? selected.slice(0, 1) : selected;
};

/** Runs the scenario that the arguments name. */
export const runBench = async (context: CommandContext, {args, options}: CommandInput): Promise<CommandResult> => {
	const benchOptions = options as BenchOptions;
	const {seed, quick} = benchOptions;
	const name = args[0]!;
	const run = (benchScenarios as Partial<Record<string, typeof benchScenarios.mixed>>)[name];
	const deployments = listDeployments(benchOptions);
	if (benchOptions.processes === true && name !== 'mixed') {
		return createFailure(exitCodes.usage, 'only the scenario mixed runs against processes');
	}

	if (run === undefined || deployments.length === 0) {
		return createFailure(exitCodes.usage, run === undefined
			? `unknown scenario ${name}; expected one of ${Object.keys(benchScenarios).join(', ')}`
			: `unknown deployment ${benchOptions.deployment}; expected one of ${Object.keys(simulatedDeployments).join(', ')}`);
	}

	const durationMs = 1000 * (benchOptions.durationS ?? getDurationS(benchOptions));
	const reports = benchOptions.processes
		? [await runProcessBench({seed, durationMs}, context.progress)]
		: deployments.map(deployment => run({
			deployment: simulatedDeployments[deployment], seed, durationMs, isQuick: quick === true,
			notify(step) {
				context.progress.report(step);
			},
		}));
	const report: BenchReport = {
		scenario: name, mode: benchOptions.processes ? 'processes' : 'virtual time', seed, durationMs, deployments: reports,
		isMet: reports.every(({targets}) => targets.every(({isMet}) => isMet)),
	};
	if (benchOptions.html !== undefined) {
		try {
			await writeFile(benchOptions.html, renderBenchHtml(report));
		} catch (error) {
			return createFailure(exitCodes.failure, `${benchOptions.html} cannot be written: ${(error as Error).message}`);
		}
	}

	return createOk({text: renderBench(report), data: {...report}});
};
