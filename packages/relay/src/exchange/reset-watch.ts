/** What of a socket shows a reset. */
export type ResetSource = {
	/** Undefined once the connection has no peer. */
	readonly remoteAddress?: string | undefined;
	on: (event: 'end' | 'error', listener: () => void) => unknown;
};

/**
 * Reports when a connection is reset rather than closed. A reset that arrives together with the last bytes is reported by
 * libuv as a plain end, since it takes a hang-up after a partial read for one; a connection that was reset then has no peer
 * any more, one that was closed still has. The address must not have been read before, because Node keeps it.
 */
export const watchReset = (socket: ResetSource, reportReset: () => void): void => {
	socket.on('error', reportReset);
	socket.on('end', () => {
		if (socket.remoteAddress === undefined) {
			reportReset();
		}
	});
};
