import {OwnershipTable, type BackendServerDescription, type SessionRecord} from '@knapweedrack/core';

const server: BackendServerDescription = {
	id: 's1', address: '', kind: 'engine', failureDomain: 'north', serves: 'm', state: 'live',
};

const createSession = (entryId: string, renewal: number): SessionRecord => ({
	entryId, epoch: '1', callerAddress: '', peerAddress: '', failureDomain: entryId === 'a' ? 'north' : 'south', region: 'r',
	state: 'serving', configurationRevision: 0, availabilityRevision: 0, renewal,
});

/** Ownership table of an entry that owns a backend server and is paused for longer than its lease. */
export class PausedOwner {
	readonly #table: OwnershipTable;
	#now = 0;

	constructor(hash: (text: string) => number) {
		this.#table = new OwnershipTable({self: createSession('a', 0), hash});
		this.#table.handle({type: 'instances', servers: [server], entryIds: ['a', 'b']}, 0);
		this.#renew(4000);
		this.#table.handle({
			type: 'owner', serverId: 's1', record: undefined, version: 0,
		}, this.#now);
		this.#table.handle({type: 'writeResult', serverId: 's1', result: {type: 'ok', version: 1}}, this.#now);
		this.#renew(this.#now + 11_000);
	}

	get mode(): string {
		return this.#table.getMode('s1', this.#now);
	}

	/** Ends a pause during which another entry took over, and records a violation if the table still grants permits without restriction. */
	resume(pausedMs: number, violations: string[]): void {
		if (this.mode !== 'full') {
			violations.push(`the owner is in mode ${this.mode}, not full, before the pause`);
		}

		this.#now += pausedMs;
		if (this.mode === 'full') {
			violations.push('an owner with a lapsed lease grants permits without restriction (mode full)');
		}

		const heartbeat = {...createSession('b', 0), reachesStore: true};
		this.#table.handle({type: 'heartbeat', heartbeat, sentAt: this.#now}, this.#now);
		this.#table.handle({type: 'lease', validUntil: this.#now + 6000}, this.#now);
		// A renewed lease does not tell whether another entry took over while the lease was lapsed.
		if (this.mode === 'full') {
			violations.push('an owner with a renewed lease grants permits without restriction (mode full) before it has rewritten its ownership record');
		}

		this.#table.handle({
			type: 'owner', serverId: 's1', version: 2, record: {
				serverId: 's1', owner: 'b', epoch: '1', fencingNumber: 2, released: false,
			},
		}, this.#now);
		if (this.mode !== 'stopped') {
			violations.push(`a former owner is in mode ${this.mode}, not stopped`);
		}
	}

	#renew(untilMs: number): void {
		for (; this.#now < untilMs; this.#now += 1000) {
			this.#table.handle({type: 'lease', validUntil: this.#now + 6000}, this.#now);
			this.#table.handle({type: 'sessions', sessions: [createSession('b', 1)], sentAt: this.#now}, this.#now);
			this.#table.handle({type: 'tick'}, this.#now);
		}
	}
}
