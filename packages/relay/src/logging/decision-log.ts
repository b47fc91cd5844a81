import pino, {type Logger} from 'pino';

/** Maximum number of bytes queued for standard output. Further lines are dropped and counted, so that logging never blocks. */
const queuedBytesLimit = 256 * 1024;
/**
 * Maximum number of request lines per second. Further lines are dropped and counted, to keep the log readable during a flood
 * of requests.
 */
const requestLinesPerSecond = 200;
const secondMs = 1000;

/** Structured log of decisions on standard output. */
export type DecisionLog = {
	/** Logs a change of the state of the process or of a dependency. */
	write: (event: string, fields?: Record<string, unknown>) => void;
	/** Logs a decision about one request; dropped and counted above `requestLinesPerSecond`. */
	writeRequest: (event: string, requestId: string | undefined, fields: Record<string, unknown>) => void;
	/** Number of lines dropped since the start. */
	getOmitted: () => number;
	flush: () => void;
};

/** Creates the log of a process; `now` returns a monotonic time in ms. */
export const createDecisionLog = (entryId: string, now: () => number): DecisionLog => {
	const destination = pino.destination({dest: 1, sync: false, maxLength: queuedBytesLimit});
	const logger: Logger = pino({base: {entry: entryId}}, destination);
	let omitted = 0;
	let second = {startedAt: Number.NEGATIVE_INFINITY, lines: 0, omitted: 0};
	destination.on('drop', () => {
		omitted++;
	});
	destination.on('error', () => {
		// Standard output is closed, so the failure cannot be logged.
		omitted++;
	});

	const startSecond = (time: number): void => {
		if (second.omitted > 0) {
			logger.warn({event: 'log.omitted', lines: second.omitted, omitted});
		}

		second = {startedAt: time, lines: 0, omitted: 0};
	};

	return {
		write(event, fields) {
			logger.info({event, ...fields});
		},
		writeRequest(event, requestId, fields) {
			const time = now();
			if (time - second.startedAt >= secondMs) {
				startSecond(time);
			}

			if (second.lines >= requestLinesPerSecond) {
				second.omitted++;
				omitted++;
				return;
			}

			second.lines++;
			logger.info({event, requestId, ...fields});
		},
		getOmitted: () => omitted,
		flush() {
			destination.flush();
		},
	};
};
