import type {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import type {LoadTable} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {RegisteredEntry} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {decodePeerMessage, encodePeerMessage, type PeerMessage} from './peer-message.js';

/** Period in which an entry repeats all its news; also its heartbeat. */
const heartbeatMs = 500;
/** Time without news after which another entry is left out of the list for callers; five lost heartbeats. */
const silenceMs = 2500;
/** Time after a change before it is sent, so that the changes of one moment share a datagram. */
const coalesceMs = 1;
/** Backend servers in one datagram, so that it is not fragmented on an Ethernet path. */
const loadsPerDatagram = 16;

/** State of another entry as last heard. */
type Peer = {bootId: string; sequence: number; isReady: boolean; isStopping: boolean; callerAddress: string | undefined; heardAt: number};

/** What the task needs. */
export type PeerNewsOptions = {
	entryId: string;
	bootId: string;
	callerAddress: string;
	/** `host:port` of the datagram socket. */
	address: {host: string; port: number};
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	loads: LoadTable;
	isReady: () => boolean;
	isStopping: () => boolean;
	getVersion: () => number;
};

/**
 * Tells the other entries about the own load and hears theirs, by datagrams:
 * the news is only useful while it is new, and a lost one is repaired by the next heartbeat.
 */
export class PeerNewsTask {
	readonly #options: PeerNewsOptions;
	readonly #socket: Socket;
	readonly #peers = new Map<string, Peer>();
	readonly #changed = new Set<string>();
	#targets: Array<{id: string; host: string; port: number}> = [];
	#registeredAt = new Map<string, number>();
	#sequence = 0;
	#isScheduled = false;
	#unsubscribe: (() => void) | undefined;

	constructor(options: PeerNewsOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', bytes => {
			this.#accept(bytes);
		});
		this.#socket.on('error', error => {
			options.log.write('peers.socket_failed', {message: error.message});
		});
	}

	async start(): Promise<void> {
		const {address: {host, port}, timer} = this.#options;
		await new Promise<void>(resolve => {
			this.#socket.bind(port, host, resolve);
		});
		this.#unsubscribe = timer.subscribe(heartbeatMs, () => {
			this.#sendAll();
		});
	}

	/** Sends the last news at once, for example that the process stops. */
	notifyState(): void {
		this.#sendAll();
	}

	/** Notes that the own load of a backend server has changed. */
	notifyLoad(serverId: string): void {
		this.#changed.add(serverId);
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.#options.timer.schedule(coalesceMs, () => {
				this.#isScheduled = false;
				this.#sendChanged();
			});
		}
	}

	/** Applies the list of entries in the store. */
	applyEntries(entries: ReadonlyMap<string, RegisteredEntry>): void {
		const {entryId, timer, loads} = this.#options;
		const others = [...entries.values()].filter(entry => entry.id !== entryId);
		const now = timer.now();
		this.#registeredAt = new Map(others.map(({id}) => [id, this.#registeredAt.get(id) ?? now]));
		this.#targets = others.map(({id, peerAddress}) => {
			const [host = '', port = '0'] = peerAddress.split(':');
			return {id, host, port: Number(port)};
		});
		for (const id of this.#peers.keys()) {
			if (!this.#registeredAt.has(id)) {
				this.#peers.delete(id);
				loads.removePeer(id);
			}
		}
	}

	/** True while another entry runs and is not stopping: heard of lately, or too new to have been heard of. */
	isRunning(entryId: string): boolean {
		const now = this.#options.timer.now();
		const peer = this.#peers.get(entryId);
		if (peer === undefined) {
			return now - (this.#registeredAt.get(entryId) ?? Number.NEGATIVE_INFINITY) <= silenceMs;
		}

		return !peer.isStopping && now - peer.heardAt <= silenceMs;
	}

	/** True while another entry runs and is ready for callers. */
	isServing(entryId: string): boolean {
		return this.isRunning(entryId) && (this.#peers.get(entryId)?.isReady ?? true);
	}

	/** Caller addresses of the entries that were heard of lately and are ready, whether or not the store lists them. */
	listServingAddresses(): string[] {
		return [...this.#peers].filter(([id]) => this.isServing(id)).flatMap(([, {callerAddress}]) => callerAddress ?? []);
	}

	/** Time since an entry was last heard of, or since it was registered, in ms. */
	computeSilenceMs(entryId: string): number {
		const heardAt = this.#peers.get(entryId)?.heardAt ?? this.#registeredAt.get(entryId);
		return heardAt === undefined ? 0 : this.#options.timer.now() - heardAt;
	}

	close(): void {
		this.#unsubscribe?.();
		this.#socket.close();
	}

	#accept(bytes: Buffer): void {
		const {timer, metrics, loads, log} = this.#options;
		const message = decodePeerMessage(bytes);
		if (message === undefined) {
			metrics.countEvent('peers.unreadable');
			return;
		}

		const known = this.#peers.get(message.entryId);
		const isRestarted = known !== undefined && known.bootId !== message.bootId;
		if (known !== undefined && !isRestarted && message.sequence <= known.sequence) {
			return;
		}

		const now = timer.now();
		if (known === undefined || isRestarted || known.isReady !== message.isReady || now - known.heardAt > silenceMs) {
			log.write('peer.heard', {
				peer: message.entryId, isReady: message.isReady, isRestarted, version: message.version,
			});
		}

		if (isRestarted) {
			loads.removePeer(message.entryId);
		}

		this.#peers.set(message.entryId, {
			bootId: message.bootId, sequence: message.sequence, isReady: message.isReady, isStopping: message.isStopping,
			callerAddress: message.callerAddress, heardAt: now,
		});
		for (const {serverId, load} of message.loads) {
			loads.setPeerLoad(message.entryId, serverId, load, now);
		}
	}

	#sendAll(): void {
		this.#changed.clear();
		this.#send(this.#options.loads.listOwnServers());
	}

	#sendChanged(): void {
		const changed = [...this.#changed];
		this.#changed.clear();
		if (changed.length > 0) {
			this.#send(changed);
		}
	}

	#send(serverIds: readonly string[]): void {
		const {entryId, bootId, callerAddress, timer, loads, isReady, isStopping, getVersion} = this.#options;
		const now = timer.now();
		for (let start = 0; start === 0 || start < serverIds.length; start += loadsPerDatagram) {
			this.#sequence++;
			const message: PeerMessage = {
				entryId, bootId, sequence: this.#sequence, isReady: isReady(), isStopping: isStopping(), callerAddress, version: getVersion(),
				loads: serverIds.slice(start, start + loadsPerDatagram).map(serverId => ({serverId, load: loads.computeOwnLoad(serverId, now)})),
			};
			const bytes = encodePeerMessage(message);
			for (const {host, port} of this.#targets) {
				this.#socket.send(bytes, port, host, error => {
					if (error) {
						this.#options.metrics.countEvent('peers.send_failed');
					}
				});
			}
		}
	}
}
