import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import type {StatePosition, StateUpdate} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {configureSocket} from '../exchange/connection-opener.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {
	encodeFeedMessage, encodeUpdate, FeedMessageReader, type FeedMessage, type FeedMessageOf, type WatchAge,
} from './feed-message.js';

/** Name of the protocol in the HTTP upgrade. */
export const feedProtocol = 'knapweedrack-state';

/** Unsent bytes of a follower after which its connection is closed, so that a slow one does not use up the memory of the reader. */
const unsentLimitBytes = 8 * 1024 * 1024;
/** Time in which a follower must send its positions, in ms. */
const firstMessageMs = 2000;

/** State of the store as a reader passes it on. */
export type FeedSource = {
	/** Makes this entry read the store; resolves to whether it has read everything. */
	ensureReading: () => Promise<boolean>;
	/** Names of the watches. */
	watches: readonly string[];
	/** Builds the update of a watch for a copy at a position; undefined when nothing is missing there. */
	buildUpdate: (watch: string, since: StatePosition | undefined) => StateUpdate | undefined;
	/** Ages of the watches that this entry itself has confirmed with the store. */
	listAges: () => WatchAge[];
	/** Time since the store answered again after an outage, while that is recent, in ms. */
	computeRegainedMs: (watch: string) => number | undefined;
};

/** Dependencies of the feed server. */
export type FeedServerOptions = {timer: TimerService; log: DecisionLog; metrics: RelayMetrics; source: FeedSource};

type Follower = {socket: Duplex; entryId: string; isSynced: boolean};

/** Passes the state of the store, which this entry reads itself, on to other entries. It never passes on what it has from another entry. */
export class FeedServer {
	readonly #options: FeedServerOptions;
	readonly #followers = new Set<Follower>();
	#isClosed = false;

	constructor(options: FeedServerOptions) {
		this.#options = options;
	}

	/** Number of entries that follow this one. */
	get followers(): number {
		return this.#followers.size;
	}

	/** Accepts the connection of a follower. */
	accept(request: IncomingMessage, socket: Duplex): void {
		// Without a listener, an error of the connection would end the process.
		socket.on('error', () => undefined);
		if (this.#isClosed || request.headers.upgrade !== feedProtocol) {
			socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n');
			return;
		}

		if ('setNoDelay' in socket) {
			configureSocket(socket as Parameters<typeof configureSocket>[0]);
		}

		socket.write(`HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${feedProtocol}\r\n\r\n`);
		const follower: Follower = {socket, entryId: 'unknown', isSynced: false};
		const cancelTimeout = this.#options.timer.schedule(firstMessageMs, () => {
			socket.destroy();
		});
		const reader = new FeedMessageReader();
		socket.on('data', (bytes: Buffer) => {
			const messages = reader.read(bytes);
			if (messages === undefined) {
				this.#options.metrics.countEvent('feed.unreadable');
				this.#options.log.write('feed.unreadable', {peer: follower.entryId, role: 'reader'});
				socket.destroy();
				return;
			}

			for (const message of messages) {
				cancelTimeout();
				this.#handleMessage(follower, message);
			}
		});
		socket.on('end', () => {
			socket.end();
		});
		socket.on('close', () => {
			cancelTimeout();
			if (this.#followers.delete(follower)) {
				this.#options.log.write('feed.follower_left', {peer: follower.entryId, followers: this.followers});
			}
		});
	}

	/** Passes a change of a watch on to all followers. */
	publish(watch: string, update: StateUpdate): void {
		if (this.#followers.size === 0) {
			return;
		}

		const line = this.#encodeUpdate(watch, update);
		for (const follower of this.#followers) {
			if (follower.isSynced) {
				this.#write(follower, line);
			}
		}
	}

	/** Tells the followers that this entry does not reach the store, and closes their connections. */
	closeFollowers(): void {
		for (const {socket} of this.#followers) {
			socket.end(encodeFeedMessage({type: 'lost'}));
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const {socket} of this.#followers) {
			socket.destroy();
		}
	}

	#handleMessage(follower: Follower, message: FeedMessage): void {
		if (message.type === 'follow' && !this.#followers.has(follower)) {
			void this.#startFollower(follower, message);
		} else if (message.type === 'ask' && follower.isSynced) {
			this.#write(follower, encodeFeedMessage({type: 'ages', at: message.at, ages: this.#options.source.listAges()}));
		}
	}

	async #startFollower(follower: Follower, {entryId, positions}: FeedMessageOf<'follow'>): Promise<void> {
		const {source, log} = this.#options;
		follower.entryId = entryId;
		this.#followers.add(follower);
		const isReading = await source.ensureReading();
		if (follower.socket.destroyed) {
			return;
		}

		if (!isReading || this.#isClosed) {
			follower.socket.end(encodeFeedMessage({type: 'lost'}));
			return;
		}

		for (const watch of source.watches) {
			const update = source.buildUpdate(watch, positions[watch]);
			if (update !== undefined) {
				follower.socket.write(this.#encodeUpdate(watch, update));
			}
		}

		follower.socket.write(encodeFeedMessage({type: 'synced'}));
		follower.isSynced = true;
		log.write('feed.follower_joined', {peer: entryId, followers: this.followers});
	}

	#encodeUpdate(watch: string, update: StateUpdate): string {
		return encodeFeedMessage({
			type: 'update', watch, update: encodeUpdate(update), regainedMs: this.#options.source.computeRegainedMs(watch),
		});
	}

	#write({socket, entryId}: Follower, line: string): void {
		if (socket.writableLength > unsentLimitBytes) {
			this.#options.log.write('feed.follower_too_slow', {peer: entryId, unsentBytes: socket.writableLength});
			socket.destroy();
			return;
		}

		socket.write(line);
	}
}
