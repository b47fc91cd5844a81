import type {ServerIncarnation} from './server-backoff-table.js';

/** Most incarnations kept; the oldest are dropped. */
const leavingLimit = 4096;

/**
 * Incarnations of backend servers that have said that they leave. They are kept when the store no longer lists them, since it may list
 * them again after an outage.
 */
export class LeavingServers {
	readonly #toldAt = new Map<string, number>();

	/** Records that a server leaves; returns false when that was known. */
	add(server: ServerIncarnation, toldAt: number): boolean {
		const key = formatKey(server);
		if (this.#toldAt.has(key)) {
			return false;
		}

		this.#toldAt.set(key, toldAt);
		if (this.#toldAt.size > leavingLimit) {
			const [oldest] = this.#toldAt.keys();
			this.#toldAt.delete(oldest!);
		}

		return true;
	}

	has(server: ServerIncarnation): boolean {
		return this.#toldAt.has(formatKey(server));
	}

	/** All incarnations with the times at which they said so. */
	list(): Array<ServerIncarnation & {toldAt: number}> {
		return [...this.#toldAt].map(([key, toldAt]) => {
			const [id = '', bootId] = JSON.parse(key) as [string, string | null];
			return {id, bootId: bootId ?? undefined, toldAt};
		});
	}
}

const formatKey = ({id, bootId}: ServerIncarnation): string => JSON.stringify([id, bootId ?? null]);
