/**
 * Calls the subscriber once the bytes that wait in the sockets now have been read; returns a function that cancels the call. After
 * the process was busy, its timers run before it reads what has arrived meanwhile.
 */
export const runAfterInput = (subscriber: () => void): (() => void) => {
	const immediate = setImmediate(subscriber);
	return () => {
		clearImmediate(immediate);
	};
};
