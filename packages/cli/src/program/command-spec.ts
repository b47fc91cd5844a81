import type {CommandContext} from './command-context.js';
import type {CommandResult} from './command-result.js';

/** An option of one command, in the notation of commander. */
export type OptionSpec = {
	flags: string;
	description: string;
	parse?: (text: string) => unknown;
	defaultValue?: unknown;
};

/** Arguments and options of one run; the keys of options are commander's, for example `waitTimeout` for `--wait-timeout`. */
export type CommandInput = {args: string[]; options: Record<string, unknown>};

/** One row of the command table. */
export type CommandSpec = {
	/** Words of the command, for example `['config', 'apply']`. */
	words: readonly [string] | readonly [string, string];
	description: string;
	/** Arguments in the notation of commander, for example `<dir>`. */
	args?: ReadonlyArray<{name: string; description: string}>;
	options?: readonly OptionSpec[];
	/** Text appended to `--help`. */
	help?: string;
	run: (context: CommandContext, input: CommandInput) => Promise<CommandResult>;
};
