import {isInService} from '../drain/apply-availability-edit.js';
import type {Availability} from '../types/configuration.js';
import type {SessionRecord} from '../types/session.js';
import {selectRendezvous, type RendezvousCandidate, type TextHash32} from './rendezvous.js';

/** Candidates for ownership, indexed by failure domain and region; `version` rises with each change of the set. */
export class OwnerCandidates {
	version = 0;
	#key = '';
	#all: RendezvousCandidate[] = [];
	#byDomain = new Map<string, RendezvousCandidate[]>();
	#byRegion = new Map<string, RendezvousCandidate[]>();
	/** Region of each failure domain that ever had an entry. */
	readonly #regions = new Map<string, string>();
	readonly #hashes = new Map<string, number>();

	constructor(private readonly hash: TextHash32) {}

	/** Replaces the candidates by those of the given sessions that are serving and in service. */
	update(sessions: readonly SessionRecord[], availability: Availability): void {
		const serving = sessions.filter(session =>
			session.state === 'serving' && isInService(availability, {id: session.entryId, failureDomain: session.failureDomain}));
		serving.sort((a, b) => a.entryId < b.entryId ? -1 : 1);
		const key = serving.map(session => `${session.entryId} ${session.failureDomain} ${session.region}`).join('\n');
		if (key !== this.#key) {
			this.#key = key;
			this.#buildIndex(serving);
		}
	}

	/** Records the region of a failure domain; it stays known when the failure domain has no entry left. */
	recordRegion(failureDomain: string, region: string): void {
		if (this.#regions.get(failureDomain) !== region) {
			this.#regions.set(failureDomain, region);
			this.version += 1;
		}
	}

	getRegion(failureDomain: string): string | undefined {
		return this.#regions.get(failureDomain);
	}

	/** Desired owner of a backend server; entries of its failure domain come before others of its region. */
	selectOwner(keyHash: number, failureDomain: string): string | undefined {
		const region = this.#regions.get(failureDomain);
		const inRegion = region === undefined ? this.#all : this.#byRegion.get(region) ?? [];
		return selectRendezvous(keyHash, this.#byDomain.get(failureDomain) ?? inRegion)?.id;
	}

	#buildIndex(sessions: readonly SessionRecord[]): void {
		this.version += 1;
		this.#all = [];
		this.#byDomain = new Map();
		this.#byRegion = new Map();
		for (const session of sessions) {
			const candidate = {id: session.entryId, hash: this.#getHash(session.entryId)};
			this.#all.push(candidate);
			addToGroup(this.#byDomain, session.failureDomain, candidate);
			addToGroup(this.#byRegion, session.region, candidate);
		}
	}

	#getHash(entryId: string): number {
		const known = this.#hashes.get(entryId);
		if (known !== undefined) {
			return known;
		}

		const hash = this.hash(entryId);
		this.#hashes.set(entryId, hash);
		return hash;
	}
}

const addToGroup = (groups: Map<string, RendezvousCandidate[]>, key: string, candidate: RendezvousCandidate): void => {
	const group = groups.get(key);
	if (group === undefined) {
		groups.set(key, [candidate]);
	} else {
		group.push(candidate);
	}
};
