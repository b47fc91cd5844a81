import {hashRendezvous, type AdmissionOptions, type LongPromptPoolOptions} from '@knapweedrack/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CoreEntry} from './core-entry.js';
import {CoreRequestRun} from './core-request-run.js';
import type {TraceRequest} from './load-trace.js';
import {OwnedAdmissionPoint} from './owned-admission-point.js';
import {
	availabilityLagMs, type Policy, type RequestObserver, type SimulationWorld,
} from './simulation-world.js';
import type {CacheFeedItem, SimulatedServer} from './simulated-server.js';

/** Settings of the core that a run can change; the defaults of the core apply where one is left out. */
export type CorePolicyOptions = {admission?: AdmissionOptions; longPool?: LongPromptPoolOptions};

const cacheEventDelayMs = 500;
const cacheEventLossRate = 0.05;
const permitRenewalIntervalMs = 3000;

/** Policy that uses the decisions of the core; each server is owned by one entry of its failure domain, selected by rendezvous hashing. */
export class CorePolicy implements Policy {
	readonly #points = new Map<string, OwnedAdmissionPoint>();
	readonly #entries: CoreEntry[];
	readonly #random;

	constructor(private readonly world: SimulationWorld, seed: number, options: CorePolicyOptions = {}) {
		this.#random = xoroshiro128plus(seed);
		this.#entries = world.entries.map(location => new CoreEntry(world, location, this.#points, options.longPool));
		for (const server of world.servers) {
			const owner = this.#selectOwningEntry(server);
			this.#points.set(server.id, new OwnedAdmissionPoint(world, owner.location, server, options.admission ?? {}));
			server.publishCache = items => {
				this.#publishCache(server, items);
			};
		}
	}

	start(): void {
		for (const point of this.#points.values()) {
			point.start();
		}

		this.world.clock.scheduleEvery(permitRenewalIntervalMs, () => {
			for (const entry of this.#entries) {
				entry.renewPermits();
			}
		});
	}

	setDomainInService(failureDomain: string, isInService: boolean): void {
		for (const entry of this.#entries) {
			this.world.clock.scheduleIn(availabilityLagMs * uniformFloat64(this.#random), () => {
				entry.setDomainInService(failureDomain, isInService);
			});
		}
	}

	handle(request: TraceRequest, entryIndex: number, observer: RequestObserver): void {
		new CoreRequestRun(this.world, this.#entries[entryIndex]!, request, observer).start();
	}

	#selectOwningEntry(server: SimulatedServer): CoreEntry {
		const localEntries = this.#entries.filter(({location}) => location.failureDomain === server.failureDomain);
		return localEntries.toSorted((left, right) => hashRendezvous(server.id, right.location.id) - hashRendezvous(server.id, left.location.id))[0]!;
	}

	/** Sends cache events to every entry with a delay; each entry loses a random part of them. */
	#publishCache(server: SimulatedServer, items: CacheFeedItem[]): void {
		const {bootId} = server;
		for (const entry of this.#entries) {
			const received = items.filter(() => uniformFloat64(this.#random) >= cacheEventLossRate);
			this.world.clock.scheduleIn(cacheEventDelayMs, () => {
				entry.prefixes.applyEvents(server.id, bootId, received, this.world.clock.now);
			});
		}
	}
}
