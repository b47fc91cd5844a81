import type {CliIo} from './cli-io.js';

/** A command that takes longer than this shows a progress line, and one more after each further period. */
export const progressIntervalMs = 2000;

/** Progress lines of a running command on standard error. */
export type Progress = {
	/** Names the step that is running; shown once the command takes longer than `progressIntervalMs`. */
	update: (step: string) => void;
	/** Shows a step at once, before work that blocks the event loop and with it the timer of the progress lines. */
	report: (step: string) => void;
	stop: () => void;
};

/** Starts the progress lines of one command. */
export const startProgress = (io: CliIo): Progress => {
	const startedAt = io.now();
	let step = 'starting';
	const write = (): void => {
		io.writeError(`${step} (${((io.now() - startedAt) / 1000).toFixed(1)} s)\n`);
	};

	const interval = setInterval(write, progressIntervalMs);
	interval.unref();
	return {
		update(next) {
			step = next;
		},
		report(next) {
			step = next;
			write();
		},
		stop() {
			clearInterval(interval);
		},
	};
};
