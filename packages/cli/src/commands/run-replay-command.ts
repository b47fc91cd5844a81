import {readFile} from 'node:fs/promises';
import {createOk} from '@knapweedrack/core';
import {
	findMismatches, parseReplayTrace, runVirtualReplay, simulatedDeployments,
	type ReplayMismatch, type ReplayResult, type ReplayTrace, type SimulatedDeployment,
} from '@knapweedrack/testkit';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';
import {findProcessObstacle, runProcessReplay} from '../replay/replay-processes.js';

const buildResult = (mode: string, trace: ReplayTrace, results: ReplayResult[]): CommandResult => {
	const mismatches = findMismatches(trace.requests, results);
	const data = {
		mode, requests: trace.requests.length, mismatches, results,
	};
	const summary = `${trace.requests.length} requests, ${mismatches.length} stated outcomes did not hold`;
	return mismatches.length === 0
		? createOk({text: summary, data})
		: createFailure(exitCodes.failure, [summary, ...mismatches.map(mismatch => describeMismatch(mismatch))].join('\n'), data);
};

const describeMismatch = ({id, expected, seen}: ReplayMismatch): string => `  ${id}: expected ${expected}, got ${seen}`;

/** Replays the trace that the arguments name. */
export const runReplay = async (context: CommandContext, {args, options}: CommandInput): Promise<CommandResult> => {
	const file = args[0]!;
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return createFailure(exitCodes.usage, `${file} cannot be read: ${(error as Error).message}`);
	}

	const parsed = parseReplayTrace(text);
	if (!parsed.ok) {
		return createFailure(exitCodes.usage, parsed.error.map(({line, message}) => `${file}:${line}: ${message}`).join('\n'), {problems: parsed.error});
	}

	const trace = parsed.value;
	const deployment = (simulatedDeployments as Record<string, SimulatedDeployment>)[trace.deployment];
	if (deployment === undefined) {
		return createFailure(exitCodes.usage, `${file}:1: unknown deployment ${trace.deployment}; expected one of ${Object.keys(simulatedDeployments).join(', ')}`);
	}

	if (options.processes !== true) {
		return buildResult('virtual time', trace, runVirtualReplay(trace, deployment, options.seed as number));
	}

	const obstacle = findProcessObstacle(trace);
	return obstacle === undefined
		? buildResult('processes', trace, await runProcessReplay(trace, context.progress))
		: createFailure(exitCodes.usage, `${file}: ${obstacle}`);
};
