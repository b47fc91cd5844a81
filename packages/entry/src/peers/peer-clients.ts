import type {Metrics, TimerService} from '../contracts.js';
import {PeerClient} from './peer-client.js';
import type {PeerSecrets} from './peer-secrets.js';
import {createTrafficMeter, type PeerTraffic} from './traffic-meter.js';

const idleLimitMs = 120_000;
const idleCheckIntervalMs = 30_000;

/** Connections to other entries by address; opened on first use and closed after an idle time. */
export class PeerClients {
	readonly #options: {secrets: PeerSecrets; timer: TimerService; metrics: Metrics};
	readonly #clients = new Map<string, {client: PeerClient; usedAt: number}>();
	readonly #traffic = createTrafficMeter();
	readonly #unsubscribe: () => void;

	constructor(options: {secrets: PeerSecrets; timer: TimerService; metrics: Metrics}) {
		this.#options = options;
		this.#unsubscribe = options.timer.subscribe(idleCheckIntervalMs, now => {
			this.#closeIdle(now);
		});
	}

	/** Returns the connection to an address, `host:port`. */
	get(address: string): PeerClient {
		const now = this.#options.timer.now();
		const existing = this.#clients.get(address);
		if (existing) {
			existing.usedAt = now;
			return existing.client;
		}

		const client = new PeerClient(address, {...this.#options, traffic: this.#traffic});
		this.#clients.set(address, {client, usedAt: now});
		return client;
	}

	measureTraffic(): PeerTraffic {
		return this.#traffic.measure();
	}

	/** Sends waiting batches and closes all connections. */
	async close(): Promise<void> {
		this.#unsubscribe();
		await Promise.all([...this.#clients.values()].map(async ({client}) => client.close()));
		this.#clients.clear();
	}

	#closeIdle(now: number): void {
		for (const [address, {client, usedAt}] of this.#clients) {
			if (now - usedAt > idleLimitMs) {
				this.#clients.delete(address);
				void client.close();
			}
		}
	}
}
