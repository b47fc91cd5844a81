import process from 'node:process';
import {InvalidArgumentError} from 'commander';
import type {StandIn} from './stand-in.js';

/** Parses a number given on the command line. */
export const parseNumberFlag = (text: string): number => {
	const value = Number(text);
	if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
		throw new InvalidArgumentError('must be a number of at least 0');
	}

	return value;
};

/** Prints the ready line and closes the stand-in on SIGTERM or SIGINT. */
export const serveUntilSignal = (standIn: StandIn): void => {
	const handleSignal = async (): Promise<void> => {
		await standIn.close();
	};

	process.once('SIGTERM', handleSignal);
	process.once('SIGINT', handleSignal);
	process.stdout.write(`${JSON.stringify({ready: true, address: standIn.address})}\n`);
};
