import type {CommandSpec} from '../program/command-spec.js';
import {parseCount} from '../program/number-option.js';

/** Replays a recorded trace and checks its stated outcomes. */
export const replayCommand: CommandSpec = {
	words: ['replay'],
	description: 'replay a recorded trace in virtual time and check its stated outcomes',
	args: [{name: '<trace>', description: 'JSONL file; docs/testkit.md describes the format'}],
	options: [{flags: '--processes', description: 'replay in real time against the processes of the example deployment prairie'}, {
		flags: '--seed <number>', description: 'seed of delays and lost cache events', parse: parseCount, defaultValue: 1,
	}],
	help: 'The exit code is 0 when all stated outcomes hold, and 1 otherwise.',
	async run(context, input) {
		// Loaded only here: the stand-ins take a good part of the start of the process.
		const {runReplay} = await import('./run-replay-command.js');
		return runReplay(context, input);
	},
};
