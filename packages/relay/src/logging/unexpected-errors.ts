import type {DecisionLog} from './decision-log.js';

/** Errors within `errorWindowMs` after which the process ends: its state can no longer be relied on. */
const errorLimit = 20;
const errorWindowMs = 10_000;

/** The part of `process` that reports errors which nothing has caught. */
export type ErrorSource = {on: (event: 'uncaughtException', handle: (error: unknown) => void) => unknown};

/** Dependencies of the handling of unexpected errors. */
export type UnexpectedErrorOptions = {
	log: Pick<DecisionLog, 'write'>;
	now: () => number;
	/** Called with each error, for the metrics. */
	count: () => void;
	/** Ends the process. */
	end: (message: string) => void;
};

/**
 * Keeps the process running after an error that nothing has caught, such as an exception in the handler of a message or a rejected
 * promise: it costs what was being handled, not all other requests. Each is logged with its stack; a series of them ends the process.
 */
export const handleUnexpectedErrors = (source: ErrorSource, {log, now, count, end}: UnexpectedErrorOptions): void => {
	let recent: number[] = [];
	source.on('uncaughtException', error => {
		const time = now();
		recent = [...recent.filter(at => time - at < errorWindowMs), time];
		const {message, stack} = error instanceof Error ? error : {message: String(error), stack: undefined};
		log.write('process.unexpected_error', {message, stack, recent: recent.length});
		count();
		if (recent.length >= errorLimit) {
			end(`${recent.length} unexpected errors within ${errorWindowMs} ms, the last one: ${message}`);
		}
	});
};
