import createDebug from 'debug';
import {
	OwnershipTable, type OwnerRecord, type OwnershipCommand, type OwnershipEvent, type OwnershipMode, type OwnerWriteResult,
	type SessionRecord, type TextHash32,
} from '@knapweedrack/core';
import type {StoreFailure} from '@knapweedrack/platform-client';
import {objectKeys, ownerRecordSchema, sessionRecordSchema} from '@knapweedrack/protocol';
import type {AvailabilityTask} from '../configuration/availability-task.js';
import type {Metrics, TimerService} from '../contracts.js';
import {MessagePublisher} from '../messages/message-publisher.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {counterNames} from '../metrics/metric-names.js';
import type {MonitoredStore} from '../store/monitored-store.js';
import {ObjectWatch, type WatchedState} from '../store/object-watch.js';

const debug = createDebug('knapweedrack:ownership');

const tickIntervalMs = 250;
const watchMs = 10_000;
const minWatchIntervalMs = 100;
const relistMs = 30_000;
const queryTimeoutMs = 1000;
const writeTimeoutMs = 1500;

/** Dependencies of the ownership task. */
export type OwnershipTaskOptions = {
	self: SessionRecord;
	store: MonitoredStore;
	membership: MembershipTask;
	availability: AvailabilityTask;
	timer: TimerService;
	metrics: Metrics;
	hash: TextHash32;
};

/** Change of the mode in which this entry may issue permits for a backend server. */
export type OwnershipMessage = {serverId: string; mode: OwnershipMode};

/** Acquires, releases and tracks the ownership of backend servers by means of their owner records in the object API. */
export class OwnershipTask {
	readonly messages = new MessagePublisher<OwnershipMessage>();
	readonly #options: OwnershipTaskOptions;
	readonly #table: OwnershipTable;
	readonly #watch: ObjectWatch;
	readonly #unsubscribes: Array<() => void> = [];
	/** Owner records by server id, including servers that are not in the instance list yet. */
	readonly #records = new Map<string, {record: OwnerRecord | undefined; version: number}>();
	#knownServers: ReadonlySet<string> = new Set();

	constructor(options: OwnershipTaskOptions) {
		this.#options = options;
		const {self, hash, store, timer, metrics} = options;
		this.#table = new OwnershipTable({self, hash});
		this.#watch = new ObjectWatch({
			prefix: objectKeys.ownerPrefix, waitMs: watchMs, minIntervalMs: minWatchIntervalMs, relistMs, store, timer, metrics,
			notify: state => {
				this.#acceptRecords(state);
			},
		});
	}

	/** Subscribes to membership and availability; resolves after the first list of owner records, successful or not. */
	async start(): Promise<void> {
		const {membership, availability, timer} = this.#options;
		this.#unsubscribes.push(
			membership.messages.subscribe(message => {
				this.handle(message);
				if (message.type === 'instances') {
					this.#addServers(message.servers.map(({id}) => id));
				}
			}),
			availability.messages.subscribe(changed => {
				this.handle({type: 'availability', availability: changed});
			}),
			timer.subscribe(tickIntervalMs, () => {
				this.handle({type: 'tick'});
			}),
		);
		this.handle({type: 'availability', availability: availability.availability});
		await this.#watch.start();
	}

	/** Mode in which this entry may issue permits now. Checks the clock first, because the lease ends when the process was suspended. */
	getMode(serverId: string): OwnershipMode {
		this.#options.membership.checkClock();
		return this.#table.getMode(serverId, this.#options.timer.now());
	}

	getFencingNumber(serverId: string): number | undefined {
		return this.#table.getFencingNumber(serverId);
	}

	/** Entry that owns a backend server and grants its permits. */
	getOwner(serverId: string): string | undefined {
		return this.#table.getOwner(serverId);
	}

	/** Last known owner record of a backend server; undefined when no owner is known. */
	getOwnerRecord(serverId: string): OwnerRecord | undefined {
		return this.#table.getOwnerRecord(serverId);
	}

	listOwned(): string[] {
		return this.#table.listOwned();
	}

	countOwned(serves: string | undefined): Map<string, number> {
		return this.#table.countOwned(serves);
	}

	/** Describes the ownership of a backend server, as answered to `ownership.query` of a peer. */
	describe(serverId: string): {isIssuing: boolean; fencingNumber: number} {
		this.#options.membership.checkClock();
		return this.#table.describe(serverId, this.#options.timer.now());
	}

	/** Owner records with their versions, for a peer that starts while the object API is down. */
	listRecords(): Array<{record: OwnerRecord; version: number}> {
		return [...this.#records.values()].flatMap(({record, version}) => record ? [{record, version}] : []);
	}

	/** Adds owner records received from a peer; used at a start while the object API is down. */
	addRecords(records: ReadonlyArray<{record: OwnerRecord; version: number}>): void {
		for (const {record, version} of records) {
			this.#acceptRecord(record.serverId, record, version);
		}
	}

	handle(event: OwnershipEvent): void {
		for (const command of this.#table.handle(event, this.#options.timer.now())) {
			void this.#run(command);
		}
	}

	/** Releases all ownership; resolves when nothing is owned or after `timeoutMs`. */
	async release(timeoutMs: number): Promise<void> {
		const {timer} = this.#options;
		const deadline = timer.now() + timeoutMs;
		this.handle({type: 'stopping'});
		await new Promise<void>(resolve => {
			const unsubscribe = timer.subscribe(tickIntervalMs, now => {
				if (this.listOwned().length === 0 || now >= deadline) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	stop(): void {
		this.#watch.stop();
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}
	}

	#acceptRecords({objects, changedKeys}: WatchedState): void {
		for (const key of changedKeys) {
			const serverId = key.slice(objectKeys.ownerPrefix.length);
			const object = objects.get(key);
			this.#acceptRecord(serverId, ownerRecordSchema.safeParse(object?.value).data, object?.version ?? 0);
		}
	}

	#acceptRecord(serverId: string, record: OwnerRecord | undefined, version: number): void {
		const known = this.#records.get(serverId);
		// A list can be older than a read that was answered before it. A deletion (version 0) has no version to compare.
		if (known && version !== 0 && version < known.version) {
			return;
		}

		this.#records.set(serverId, {record, version});
		this.handle({
			type: 'owner', serverId, record, version,
		});
	}

	/** Applies records that were received before their servers appeared in the instance list. */
	#addServers(serverIds: readonly string[]): void {
		const former = this.#knownServers;
		this.#knownServers = new Set(serverIds);
		for (const serverId of serverIds.filter(id => !former.has(id))) {
			const known = this.#records.get(serverId);
			if (known) {
				this.handle({type: 'owner', serverId, ...known});
			}
		}
	}

	async #run(command: OwnershipCommand): Promise<void> {
		const handlers: {[Type in OwnershipCommand['type']]: (command: OwnershipCommand & {type: Type}) => void | Promise<void>} = {
			writeOwner: async write => this.#write(write),
			release: async write => this.#write(write),
			readOwner: async ({serverId}) => this.#readOwner(serverId),
			readSession: async ({entryId}) => this.#readSession(entryId),
			queryFormerOwner: async ({serverId, entryId}) => this.#queryFormerOwner(serverId, entryId),
			setMode: ({serverId, mode}) => {
				this.#acceptMode(serverId, mode);
			},
		};
		await (handlers[command.type] as (command: OwnershipCommand) => void | Promise<void>)(command);
	}

	#acceptMode(serverId: string, mode: OwnershipMode): void {
		debug('ownership mode of %s: %s', serverId, mode);
		this.#options.metrics.count(mode === 'stopped' ? counterNames.ownershipLost : counterNames.ownershipAcquired);
		this.messages.publish({serverId, mode});
	}

	async #write({serverId, record, version}: OwnershipCommand & {type: 'writeOwner' | 'release'}): Promise<void> {
		const condition = version === 0 ? {create: true as const} : {version};
		const result = await this.#options.store.put(`${objectKeys.ownerPrefix}${serverId}`, record, condition, {timeoutMs: writeTimeoutMs});
		if (result.ok) {
			this.#records.set(serverId, {record, version: result.value.version});
			this.handle({type: 'writeResult', serverId, result: {type: 'ok', version: result.value.version}});
			return;
		}

		this.#options.metrics.count(counterNames.ownerWriteFailed);
		this.handle({type: 'writeResult', serverId, result: {type: toWriteResult(result.error)}});
	}

	async #readOwner(serverId: string): Promise<void> {
		const result = await this.#options.store.get(`${objectKeys.ownerPrefix}${serverId}`);
		if (result.ok) {
			this.#acceptRecord(serverId, ownerRecordSchema.safeParse(result.value.value).data, result.value.version);
		} else if (result.error.kind === 'not_found') {
			this.#acceptRecord(serverId, undefined, 0);
		}
	}

	async #readSession(entryId: string): Promise<void> {
		const sentAt = this.#options.timer.now();
		const result = await this.#options.store.get(`${objectKeys.sessionPrefix}${entryId}`);
		if (result.ok) {
			this.handle({
				type: 'session', entryId, session: sessionRecordSchema.safeParse(result.value.value).data, sentAt,
			});
		} else if (result.error.kind === 'not_found') {
			this.handle({
				type: 'session', entryId, session: undefined, sentAt,
			});
		}
	}

	async #queryFormerOwner(serverId: string, entryId: string): Promise<void> {
		const peer = this.#options.membership.findPeer(entryId);
		const answer = await peer?.run(queryTimeoutMs, async (caller, signal) => caller.ownership.query.query(serverId, {signal}));
		if (answer?.ok) {
			this.handle({
				type: 'formerOwner', serverId, entryId, isIssuing: answer.value.isIssuing,
			});
		}
	}
}

const toWriteResult = (failure: StoreFailure): Exclude<OwnerWriteResult['type'], 'ok'> => {
	if (failure.kind === 'unknown') {
		return 'unknown';
	}

	return failure.kind === 'version_mismatch' || failure.kind === 'not_found' ? 'mismatch' : 'failed';
};
