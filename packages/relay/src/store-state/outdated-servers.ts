import type {RegisteredServer} from '../contracts.js';

/** Time for which a server that has left is remembered, in ms; longer than a copy of the store is old. */
const goneServerMs = 60_000;

/** Records of servers from a copy of the store that are older than what is known of the servers; each applies once it is written again. */
export class OutdatedServers {
	/** Version of the outdated record, by server. */
	readonly #versions = new Map<string, number>();
	/** Time at which a server was no longer listed. */
	readonly #goneAt = new Map<string, number>();

	/** Records that a server has left. */
	recordGone(id: string, now: number): void {
		this.#goneAt.set(id, now);
		for (const [other, goneAt] of this.#goneAt) {
			if (now - goneAt > goneServerMs) {
				this.#goneAt.delete(other);
			}
		}
	}

	/** Returns a listed server with what is known of it; undefined for one that has left. `isRestored` when the list is from a copy. */
	apply(
		listed: RegisteredServer,
		{version, isRestored, known}: {version: number; isRestored: boolean; known: RegisteredServer | undefined},
	): RegisteredServer | undefined {
		const hasLeft = known === undefined && this.#goneAt.has(listed.id);
		const isDraining = known?.isDraining === true && known.bootId === listed.bootId;
		if (isRestored && (hasLeft || (isDraining && !listed.isDraining))) {
			this.#versions.set(listed.id, version);
		}

		if (this.#versions.get(listed.id) !== version) {
			this.#versions.delete(listed.id);
			return listed;
		}

		return hasLeft ? undefined : {...listed, isDraining};
	}
}
