#!/usr/bin/env node
import process from 'node:process';
import {Command} from 'commander';
import createDebug from 'debug';
import {createEntry, type Entry} from './entry.js';
import {exitCodeMeanings, exitCodes} from './settings/exit-codes.js';
import {loadSettings} from './settings/settings-file.js';

const debug = createDebug('knapweedrack:main');

const formatExitCodes = (): string => [
	'', 'Exit codes:', ...Object.entries(exitCodes).map(([name, code]) => `  ${code}  ${exitCodeMeanings[name as keyof typeof exitCodes]}`),
].join('\n');

/** Runs until a planned stop has ended; returns the exit code. */
const runEntry = async (file: string): Promise<number> => {
	const settings = await loadSettings(file);
	if (!settings.ok) {
		process.stderr.write(`${settings.error.message}\n`);
		return settings.error.exitCode;
	}

	const entry = await createEntry(settings.value, {settingsFile: file});
	if (!entry.ok) {
		process.stderr.write(`${entry.error.message}\n`);
		return entry.error.exitCode;
	}

	const {callerAddress, peerAddress} = entry.value;
	const stopped = waitForStop(entry.value);
	process.stdout.write(`${JSON.stringify({ready: true, callerAddress, peerAddress})}\n`);
	await stopped;
	return exitCodes.success;
};

/** The first signal begins a planned stop; a second one ends the wait for open requests. */
const waitForStop = async (entry: Entry): Promise<void> => {
	const abort = new AbortController();
	await new Promise<void>(resolve => {
		let signals = 0;
		const handleSignal = () => {
			signals++;
			if (signals > 1) {
				abort.abort();
			}

			resolve();
		};

		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	});
	await entry.stop(abort.signal);
};

const command = new Command('knapweedrackd')
	.description('Serves language-model prompts on a shared fleet of backend servers.')
	.requiredOption('--settings <file>', 'settings file of this process, YAML')
	.addHelpText('after', formatExitCodes())
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? exitCodes.success : exitCodes.usage);
	});

command.parse();
try {
	process.exitCode = await runEntry(command.opts<{settings: string}>().settings);
} catch (error) {
	debug('internal error: %O', error);
	process.stderr.write(`${(error as Error).message}\n`);
	process.exitCode = exitCodes.internal;
}

process.exit();
