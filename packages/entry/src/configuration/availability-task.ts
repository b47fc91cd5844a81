import createDebug from 'debug';
import {initialAvailability, selectRevision, type Availability} from '@knapweedrack/core';
import {availabilitySchema, objectKeys} from '@knapweedrack/protocol';
import type {Metrics, TimerService} from '../contracts.js';
import {MessagePublisher} from '../messages/message-publisher.js';
import {counterNames} from '../metrics/metric-names.js';
import type {PeerClient} from '../peers/peer-client.js';
import type {MonitoredStore} from '../store/monitored-store.js';
import {ObjectWatch} from '../store/object-watch.js';

const debug = createDebug('knapweedrack:availability');

const watchMs = 1000;
const minWatchIntervalMs = 100;
/** A failure domain out of service must receive no new work after 3 s, even when a watch missed the change. */
const relistMs = 1500;
const peerFetchTimeoutMs = 2000;

/** Dependencies of the availability task. */
export type AvailabilityOptions = {
	store: MonitoredStore;
	timer: TimerService;
	metrics: Metrics;
	/** Peer with the highest known revision. */
	findNewestPeer: () => PeerClient | undefined;
};

/** Tracks which failure domains and instances are out of service; the highest revision wins. */
export class AvailabilityTask {
	readonly messages = new MessagePublisher<Availability>();
	readonly #options: AvailabilityOptions;
	readonly #watch: ObjectWatch;
	#availability: Availability = initialAvailability;
	#isFetching = false;

	constructor(options: AvailabilityOptions) {
		this.#options = options;
		const {store, timer, metrics} = options;
		this.#watch = new ObjectWatch({
			prefix: objectKeys.availability, waitMs: watchMs, minIntervalMs: minWatchIntervalMs, relistMs, store, timer, metrics,
			notify: ({objects}) => {
				this.#accept(objects.get(objectKeys.availability)?.value);
			},
		});
	}

	get availability(): Availability {
		return this.#availability;
	}

	/** Fetches the availability from the object API and the given peers; resolves after the first answers, successful or not. */
	async start(peers: readonly PeerClient[]): Promise<void> {
		await Promise.all([this.#watch.start(), ...peers.map(async peer => this.#fetchFromPeer(peer))]);
	}

	/** Handles the revision in a peer's heartbeat; fetches the availability from a peer when the revision is higher. */
	async acceptRevision(revision: number): Promise<void> {
		if (revision <= this.#availability.revision || this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		const peer = this.#options.findNewestPeer();
		if (peer) {
			await this.#fetchFromPeer(peer);
		}

		this.#isFetching = false;
	}

	stop(): void {
		this.#watch.stop();
	}

	async #fetchFromPeer(peer: PeerClient): Promise<void> {
		const answer = await peer.run(peerFetchTimeoutMs, async (caller, signal) => caller.availability.fetch.query(undefined, {signal}));
		if (answer.ok) {
			this.#accept(answer.value);
		}
	}

	#accept(value: unknown): void {
		const offered = availabilitySchema.safeParse(value);
		if (!offered.success) {
			return;
		}

		const selected = selectRevision(this.#availability, offered.data);
		if (selected !== this.#availability) {
			this.#availability = selected;
			this.#options.metrics.count(counterNames.availabilityApplied);
			debug('availability revision %d is in force', selected.revision);
			this.messages.publish(selected);
		}
	}
}
