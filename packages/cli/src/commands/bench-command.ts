import {benchDeploymentNames, benchScenarioNames} from '../bench/bench-names.js';
import type {CommandSpec} from '../program/command-spec.js';
import {parseCount} from '../program/number-option.js';

/** Time over which requests arrive, in s. */
export const fullDurationS = 120;
/** The same with `--quick`. */
export const quickDurationS = 20;
/** The same with `--processes`. */
export const processDurationS = 8;

/** Measures the policy of the core package under load and compares it with simple load balancers. */
export const benchCommand: CommandSpec = {
	words: ['bench'],
	description: 'measure the policy under a seeded load and compare it with random, round robin and least outstanding',
	args: [{name: '<scenario>', description: `one of ${benchScenarioNames.join(', ')}`}],
	options: [
		{flags: '--deployment <name>', description: `one of ${benchDeploymentNames.join(', ')}; otherwise all`},
		{
			flags: '--seed <number>', description: 'seed of the load', parse: parseCount, defaultValue: 1,
		},
		{flags: '--duration-s <s>', description: `time over which requests arrive, in s; by default ${fullDurationS}, or ${quickDurationS} with --quick`, parse: parseCount},
		{flags: '--html <file>', description: 'also write the report as one page with plots'},
		{flags: '--processes', description: `run the mixed load for ${processDurationS} s against the processes of the example deployment prairie`},
		{flags: '--quick', description: 'one deployment and only the runs that the targets need'},
	],
	help: 'A missed target is reported and does not change the exit code.',
	async run(context, input) {
		// Loaded only here: the stand-ins take a good part of the start of the process.
		const {runBench} = await import('./run-bench-command.js');
		return runBench(context, input);
	},
};
