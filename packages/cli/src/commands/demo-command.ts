import type {CommandSpec} from '../program/command-spec.js';

/** Runs the example deployment with stand-ins on this machine. */
export const demoCommand: CommandSpec = {
	words: ['demo'],
	description: 'run the example deployment with stand-ins on this machine and send a mixture of prompts',
	options: [{flags: '--hold', description: 'leave the fleet running until interrupted'}],
	async run(context, {options}) {
		// Loaded only here: the stand-ins take a good part of the start of the process.
		const {runDemo} = await import('./run-demo-command.js');
		return runDemo(context, options);
	},
};
