/** The members of a socket that are needed to detect a reset. */
export type ResetSource = {
	/** Undefined when it is first read after the connection has lost its remote end. */
	readonly remoteAddress?: string | undefined;
	on: (event: 'end' | 'error', listener: () => void) => unknown;
};

/**
 * Reports when a connection is reset rather than closed. When a reset arrives together with the last bytes, libuv reports
 * a plain end, because it treats a hang-up after a partial read as the end of the stream. A connection that was reset then
 * has no remote address any more, but a closed one still has. The address must not have been read before, because Node caches it.
 */
export const watchReset = (socket: ResetSource, reportReset: () => void): void => {
	socket.on('error', reportReset);
	socket.on('end', () => {
		if (socket.remoteAddress === undefined) {
			reportReset();
		}
	});
};
