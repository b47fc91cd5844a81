import process from 'node:process';
import {InvalidArgumentError} from 'commander';
import type {StandIn} from './stand-in.js';

/** Parses a flag whose value is a number of at least 0. */
export const parseNumberFlag = (text: string): number => {
	const value = Number(text);
	if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
		throw new InvalidArgumentError('must be a number of at least 0');
	}

	return value;
};

/** Prints the JSON ready line that a `ProcessGroup` waits for, and closes the stand-in on SIGTERM or SIGINT. */
export const serveUntilSignal = (standIn: StandIn): void => {
	const handleSignal = async (): Promise<void> => {
		await standIn.close();
	};

	process.once('SIGTERM', handleSignal);
	process.once('SIGINT', handleSignal);
	process.stdout.write(`${JSON.stringify({ready: true, address: standIn.address})}\n`);
};
