import {readFile} from 'node:fs/promises';
import {createOk, type Result} from '@knapweedrack/core';
import type {SourceFile} from '@knapweedrack/protocol';
import {renderProblems} from '../configuration/read-lists.js';
import {EntryPool} from '../entries/entry-pool.js';
import {PlatformAccess} from '../platform/platform-access.js';
import {
	defaultSource, resolveSettings, type OperatorSettings, type SettingFlags,
} from '../settings/operator-settings.js';
import type {CliIo} from './cli-io.js';
import {createFailure, type CommandFailure} from './command-result.js';
import {exitCodes} from './exit-codes.js';
import {startProgress, type Progress} from './progress.js';

/** Settings, connections and outputs that a command uses. */
export type CommandContext = {
	settings: OperatorSettings;
	progress: Progress;
	entries: EntryPool;
	/** Prints one line while the command runs; nothing with `--json`. */
	writeLine: (line: string) => void;
	/** Opens the platform connection; fails when no address is set. */
	openPlatform: () => Result<PlatformAccess, CommandFailure>;
	close: () => Promise<void>;
};

/** Options that every command has. */
export type CommonOptions = {
	json?: boolean;
	settings?: string;
	platform?: string;
	entry?: string[];
	peerSecretFile?: string;
	author?: string;
	timeoutMs?: number;
};

/** Environment variable with the path of the settings file, used when `--settings` is not given. */
export const settingsEnvironmentVariable = 'KNAPWEEDRACK_SETTINGS';

/** Time from the start of the process within which a command reports that the platform does not answer, in ms. */
const reportLimitMs = 5000;
/** Part of it for ending the process, in ms. */
const endAllowanceMs = 800;
/** Shortest time for an answer after a slow start, in ms. */
const minTimeoutMs = 500;

/** Reads the settings and builds the context of one command. */
export const loadContext = async (options: CommonOptions, io: CliIo): Promise<Result<CommandContext, CommandFailure>> => {
	const settings = await loadSettings(options, io);
	return settings.ok ? createOk(createContext(settings.value, options, io)) : settings;
};

const createContext = (settings: OperatorSettings, options: CommonOptions, io: CliIo): CommandContext => {
	const progress = startProgress(io);
	const timeoutMs = computeTimeoutMs(settings, io);
	const entries = new EntryPool(settings.peerSecret.value, timeoutMs);
	let access: PlatformAccess | undefined;
	return {
		settings,
		progress,
		entries,
		writeLine(line) {
			if (options.json !== true) {
				io.writeOut(`${line}\n`);
			}
		},
		openPlatform() {
			const address = settings.platform.value;
			if (address === undefined) {
				return createFailure(exitCodes.usage, 'no platform address is set: use --platform, or "platform" in the settings file');
			}

			access ??= new PlatformAccess(address, timeoutMs);
			return createOk(access);
		},
		async close() {
			progress.stop();
			entries.close();
			await access?.close();
		},
	};
};

/** Computes the time for an answer; after a slow start of the process less than the default is left. */
const computeTimeoutMs = ({timeoutMs: {value, source}}: OperatorSettings, {now, startedAt}: CliIo): number => {
	if (source !== defaultSource) {
		return value;
	}

	const leftMs = reportLimitMs - endAllowanceMs - (now() - startedAt);
	return Math.floor(Math.min(value, Math.max(minTimeoutMs, leftMs)));
};

const loadSettings = async (options: CommonOptions, io: CliIo): Promise<Result<OperatorSettings, CommandFailure>> => {
	const file = options.settings ?? io.env[settingsEnvironmentVariable];
	const source = file === undefined ? createOk(undefined) : await readSource(file);
	const secret = options.peerSecretFile === undefined ? createOk(undefined) : await readSource(options.peerSecretFile);
	if (!source.ok || !secret.ok) {
		return source.ok ? secret as {ok: false; error: CommandFailure} : source;
	}

	const flags: SettingFlags = {
		platform: options.platform, entries: options.entry, peerSecret: secret.value?.text.trim(), author: options.author, timeoutMs: options.timeoutMs,
	};
	const settings = resolveSettings(flags, source.value);
	return settings.ok ? createOk(settings.value) : createFailure(exitCodes.usage, renderProblems(settings.error), {problems: settings.error});
};

const readSource = async (file: string): Promise<Result<SourceFile, CommandFailure>> => {
	try {
		return createOk({file, text: await readFile(file, 'utf8')});
	} catch (error) {
		return createFailure(exitCodes.usage, `${file} cannot be read: ${(error as Error).message}`);
	}
};
