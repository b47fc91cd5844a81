import {once} from 'node:events';
import process from 'node:process';
import {createOk} from '@knapweedrack/core';
import {buildDemoCredential} from '../demo/demo-plan.js';
import {renderDemoSummary} from '../demo/demo-summary.js';
import {runDemoLoad, startDemoFleet, waitUntilServing} from '../demo/run-demo.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandSpec} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';

const holdWorkspace = 'great-plains-shortline';

/** Starts the example deployment, and sends it a mixture of prompts unless it is to be held. */
export const runDemo = async (context: CommandContext, options: Record<string, unknown>): Promise<CommandResult> => {
	const fleet = await startDemoFleet(context.progress);
	try {
		if (options.hold === true) {
			await waitUntilServing(fleet, context.progress);
			printAddresses(context, fleet.entries.map(({address}) => address), fleet.platformAddress);
			await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
			return createOk({text: 'stopped', data: {ok: true}});
		}

		const summary = await runDemoLoad(fleet, context.progress);
		context.writeLine(renderDemoSummary(summary));
		// The last line of standard output is JSON, so that scripts can read the result.
		return summary.ok
			? createOk({text: JSON.stringify(summary), data: summary})
			: createFailure(exitCodes.failure, JSON.stringify(summary), summary);
	} finally {
		context.progress.update('stopping the fleet');
		await fleet.close();
	}
};

const printAddresses = ({writeLine, progress}: CommandContext, entries: readonly string[], platform: string): void => {
	progress.stop();
	const credential = buildDemoCredential(holdWorkspace);
	// eslint-disable-next-line @typescript-eslint/naming-convention -- field of the completions protocol
	const body = JSON.stringify({model: 'truing-model', max_tokens: 16, messages: [{role: 'user', content: 'Which wheelsets need truing?'}]});
	writeLine(`platform  http://${platform}`);
	for (const entry of entries) {
		writeLine(`entry     http://${entry}`);
	}

	writeLine(`workspace ${holdWorkspace}, credential ${credential}`);
	writeLine(`curl -s http://${entries[0]!}/v1/chat/completions -H 'authorization: Bearer ${credential}' -H 'content-type: application/json' -d '${body}'`);
	writeLine('press Ctrl+C to stop');
};
