/** A request body that is not complete yet. */
export type ArrivingBody = {
	workspace: string | undefined;
	/** Memory that it holds, in bytes. */
	heldBytes: number;
	/** Arrival of its first byte, in ms. */
	startedAt: number;
};

/**
 * Selects the body that is given up so that another one has room: the slowest and largest, by bytes held times time taken. A body
 * that arrives quickly has little time and a slow but small one few bytes, so that ordinary callers come last. With `workspace`,
 * only bodies of that account are considered.
 */
export const selectEvictedBody = <Body extends ArrivingBody>(bodies: Iterable<Body>, now: number, account?: {workspace: string | undefined}): Body | undefined => {
	let selected: Body | undefined;
	let most = -1;
	for (const body of bodies) {
		const cost = body.heldBytes * (now - body.startedAt + 1);
		if (body.heldBytes > 0 && cost > most && (account === undefined || account.workspace === body.workspace)) {
			selected = body;
			most = cost;
		}
	}

	return selected;
};
