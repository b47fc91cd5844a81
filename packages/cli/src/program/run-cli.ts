import {Command, CommanderError, Option} from 'commander';
import {commandTable} from '../commands/command-table.js';
import type {CliIo} from './cli-io.js';
import {loadContext, settingsEnvironmentVariable, type CommonOptions} from './command-context.js';
import type {CommandResult} from './command-result.js';
import type {CommandSpec} from './command-spec.js';
import {exitCodes, renderExitCodes, type ExitCode} from './exit-codes.js';
import {parseCount} from './number-option.js';

/** Runs one command line and returns the exit code; `argv` excludes the names of node and the script. */
export const runCli = async (argv: readonly string[], io: CliIo, table: readonly CommandSpec[] = commandTable): Promise<ExitCode> => {
	let exitCode: ExitCode = exitCodes.success;
	const program = buildProgram(io, table, async (spec, args, options) => {
		exitCode = renderResult(await runCommand(spec, {args, options}, io), options.json === true, io);
	});
	try {
		await program.parseAsync(argv, {from: 'user'});
		return exitCode;
	} catch (error) {
		if (error instanceof CommanderError) {
			return reportUsage(error, argv.includes('--json'), io);
		}

		return reportBrokenInvariant(error, argv.includes('--json'), io);
	}
};

type CommandRunner = (spec: CommandSpec, args: string[], options: Record<string, unknown>) => Promise<void>;

const buildProgram = (io: CliIo, table: readonly CommandSpec[], run: CommandRunner): Command => {
	const program = new Command('knapweedrack')
		.description('Command line of knapweedrack for operators.')
		.exitOverride()
		.configureOutput({writeOut: io.writeOut, writeErr: io.writeError})
		.addHelpText('afterAll', `\n${renderExitCodes()}`);
	for (const spec of table) {
		addCommand(program, spec, run);
	}

	return program;
};

const addCommand = (program: Command, spec: CommandSpec, run: CommandRunner): void => {
	const [first, second] = spec.words;
	const parent = second === undefined ? program : findOrAddGroup(program, first);
	const command = parent.command(second ?? first).description(spec.description);
	for (const {name, description} of spec.args ?? []) {
		command.argument(name, description);
	}

	for (const {flags, description, parse, defaultValue} of spec.options ?? []) {
		const option = new Option(flags, description).default(defaultValue);
		command.addOption(parse ? option.argParser(parse) : option);
	}

	addCommonOptions(command);
	if (spec.help !== undefined) {
		command.addHelpText('after', `\n${spec.help}`);
	}

	command.action(async () => run(spec, command.args, command.opts()));
};

const findOrAddGroup = (program: Command, name: string): Command =>
	program.commands.find(command => command.name() === name) ?? program.command(name).description(`commands for ${name}`);

const addCommonOptions = (command: Command): void => {
	command
		.option('--json', 'print one JSON document instead of text')
		.option('--settings <file>', `settings file; otherwise the one named by ${settingsEnvironmentVariable}`)
		.option('--platform <address>', 'host:port of the platform')
		.option('--entry <address>', 'host:port of the peer listener of an entry; can be repeated', (text: string, previous: string[] | undefined) => [...previous ?? [], text])
		.option('--peer-secret-file <file>', 'file with the secret presented to entries')
		.option('--author <name>', 'name recorded with an edit')
		.option('--timeout-ms <ms>', 'longest wait for the platform or an entry, in ms', parseCount);
};

const runCommand = async (spec: CommandSpec, input: {args: string[]; options: Record<string, unknown>}, io: CliIo): Promise<CommandResult> => {
	const context = await loadContext(input.options, io);
	if (!context.ok) {
		return context;
	}

	try {
		return await spec.run(context.value, input);
	} finally {
		await context.value.close();
	}
};

const renderResult = (result: CommandResult, isJson: boolean, io: CliIo): ExitCode => {
	const exitCode = result.ok ? result.value.exitCode ?? exitCodes.success : result.error.exitCode;
	if (isJson) {
		const body = result.ok ? result.value.data : {error: {message: result.error.message, ...result.error.data}};
		io.writeOut(`${JSON.stringify({ok: exitCode === exitCodes.success, exitCode, ...body})}\n`);
	} else if (result.ok) {
		io.writeOut(result.value.text === '' ? '' : `${result.value.text}\n`);
	} else {
		io.writeError(`error: ${result.error.message}\n`);
	}

	return exitCode;
};

const reportBrokenInvariant = (error: unknown, isJson: boolean, io: CliIo): ExitCode => {
	io.writeError(`internal error: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
	if (isJson) {
		io.writeOut(`${JSON.stringify({ok: false, exitCode: exitCodes.failure, error: {message: `internal error: ${String(error)}`}})}\n`);
	}

	return exitCodes.failure;
};

const reportUsage = (error: CommanderError, isJson: boolean, io: CliIo): ExitCode => {
	if (error.exitCode === 0) {
		return exitCodes.success;
	}

	if (isJson) {
		io.writeOut(`${JSON.stringify({ok: false, exitCode: exitCodes.usage, error: {message: error.message}})}\n`);
	}

	return exitCodes.usage;
};
