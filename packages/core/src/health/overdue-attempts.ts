type Attempt = {serverId: string; dueAt: number};

/**
 * Finds backend servers that no longer respond. A connection to a lost instance reports no error, and one late first token
 * proves little. A server therefore counts as silent only when all of its attempts are overdue.
 */
export class OverdueAttempts {
	readonly #attempts = new Map<symbol, Attempt>();

	/** Sets the time by which a backend server must send the next bytes of an attempt. */
	set(key: symbol, serverId: string, dueAt: number): void {
		this.#attempts.set(key, {serverId, dueAt});
	}

	/** Removes an attempt that has ended. */
	remove(key: symbol): void {
		this.#attempts.delete(key);
	}

	/** Lists the attempts on backend servers whose attempts are all overdue. */
	listSilent(now: number): Array<{key: symbol; serverId: string}> {
		const latest = new Map<string, number>();
		for (const {serverId, dueAt} of this.#attempts.values()) {
			latest.set(serverId, Math.max(dueAt, latest.get(serverId) ?? Number.NEGATIVE_INFINITY));
		}

		return [...this.#attempts]
			.filter(([, {serverId}]) => latest.get(serverId)! < now)
			.map(([key, {serverId}]) => ({key, serverId}));
	}
}
