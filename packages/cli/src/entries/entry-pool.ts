import {createError, type Result} from '@knapweedrack/core';
import {
	EntryClient, type EntryFailure, type EntryStatus, type ExplainSteps,
} from './entry-client.js';

/** An entry that does not answer within this time is left out, so that a command ends within 5 s. */
const entryTimeoutMs = 1500;

/** Connections to entries, opened when first used. */
export class EntryPool {
	readonly #clients = new Map<string, EntryClient>();

	/** Without a secret, every query fails as `unreachable` and no connection is opened. */
	constructor(private readonly secret: string | undefined, private readonly timeoutMs: number) {}

	async getStatus(address: string): Promise<Result<EntryStatus, EntryFailure>> {
		return this.#run(address, async (client, timeoutMs) => client.getStatus(timeoutMs));
	}

	async queryExplanation(address: string, requestId: string): Promise<Result<ExplainSteps | undefined, EntryFailure>> {
		return this.#run(address, async (client, timeoutMs) => client.queryExplanation(requestId, timeoutMs));
	}

	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}
	}

	async #run<Value>(address: string, call: (client: EntryClient, timeoutMs: number) => Promise<Result<Value, EntryFailure>>): Promise<Result<Value, EntryFailure>> {
		if (this.secret === undefined) {
			return createError({kind: 'unreachable', message: 'no peer secret is set'});
		}

		const client = this.#clients.get(address) ?? new EntryClient(address, this.secret);
		this.#clients.set(address, client);
		return call(client, Math.min(entryTimeoutMs, this.timeoutMs));
	}
}
