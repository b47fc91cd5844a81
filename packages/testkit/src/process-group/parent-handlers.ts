import process from 'node:process';

const parentSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/**
 * Calls `closeChildren` when this process exits or receives a signal that ends it; returns a function that removes the handlers.
 * `closeChildren` must be synchronous, because the process ends right after it. A signal keeps its default effect.
 */
export const addParentHandlers = (closeChildren: () => void): (() => void) => {
	const handleSignal = (signal: NodeJS.Signals): void => {
		closeChildren();
		removeHandlers();
		// When another handler is registered, such as that of a test runner, that handler decides whether the process ends.
		if (process.listenerCount(signal) === 0) {
			process.kill(process.pid, signal);
		}
	};

	const removeHandlers = (): void => {
		process.off('exit', closeChildren);
		for (const signal of parentSignals) {
			process.off(signal, handleSignal);
		}
	};

	process.on('exit', closeChildren);
	for (const signal of parentSignals) {
		process.on(signal, handleSignal);
	}

	return removeHandlers;
};
