#!/usr/bin/env node
import process from 'node:process';
import {runCli} from './program/run-cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
	writeOut(text) {
		process.stdout.write(text);
	},
	writeError(text) {
		process.stderr.write(text);
	},
	env: process.env,
	// Times of `performance.now()` count from the start of the process.
	now: () => performance.now(),
	startedAt: 0,
});
