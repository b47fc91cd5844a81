/** A wait for the end of a signal; `stop` removes its listener. */
export type AbortWait = {promise: Promise<'aborted'>; stop: () => void};

/** Starts a wait until a signal aborts; to be stopped once its result is not needed any more. */
export const waitForAbort = (signal: AbortSignal): AbortWait => {
	let handleAbort!: () => void;
	const promise = new Promise<'aborted'>(resolve => {
		handleAbort = () => {
			resolve('aborted');
		};
	});
	if (signal.aborted) {
		handleAbort();
	}

	// `stop` removes the listener explicitly: removal by a second abort signal would create an error object for each request.
	signal.addEventListener('abort', handleAbort, {once: true});
	return {
		promise,
		stop() {
			signal.removeEventListener('abort', handleAbort);
		},
	};
};
