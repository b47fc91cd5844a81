import createDebug from 'debug';
import {
	HeartbeatTable, SessionLease, SessionObserver, sessionRenewalMs,
	type BackendServerDescription, type Heartbeat, type SessionRecord, type TextHash32,
} from '@knapweedrack/core';
import type {InstanceDirectory} from '@knapweedrack/platform-client';
import {objectKeys, sessionRecordSchema, type InstanceList} from '@knapweedrack/protocol';
import type {Metrics, TimerService} from '../contracts.js';
import {MessagePublisher} from '../messages/message-publisher.js';
import {counterNames} from '../metrics/metric-names.js';
import type {PeerClient} from '../peers/peer-client.js';
import type {PeerClients} from '../peers/peer-clients.js';
import type {MonitoredStore} from '../store/monitored-store.js';
import {ObjectWatch, type WatchedState} from '../store/object-watch.js';
import {waitFor} from '../timer/timer-service.js';
import {selectHeartbeatTargets, type HeartbeatPlan} from './heartbeat-targets.js';

const debug = createDebug('knapweedrack:membership');

/** Shorter than the renewal interval, so that a slow answer does not delay the next renewal. */
const renewalTimeoutMs = 1500;
const heartbeatTimeoutMs = 1500;
const clockCheckIntervalMs = 250;
/** Time without a clock check that counts as a gap: four missed checks. */
const clockGapMs = 1000;
/** Wait of one watch call. Its answer shows which sessions were not renewed, so it must be at most about a second old. */
const sessionWatchMs = 1000;
const sessionRelistMs = 10_000;
const minListIntervalMs = 1000;
const maxListIntervalMs = 10_000;
/** Part of the list interval for each instance. The list grows with the fleet, so it is read less often in a large fleet. */
const listIntervalPerInstanceMs = 10;

/** Changes of entries and instances, published to the other tasks; `sentAt` is the time at which the call that returned them was sent. */
export type MembershipMessage =
	| {type: 'lease'; validUntil: number}
	| {type: 'sessions'; sessions: readonly SessionRecord[]; sentAt: number}
	| {type: 'heartbeat'; heartbeat: Heartbeat; sentAt: number}
	| {type: 'instances'; servers: readonly BackendServerDescription[]; entryIds: readonly string[]}
	| {type: 'entryEnded'; entryId: string};

/** Dependencies of the membership task. */
export type MembershipOptions = {
	/** Session record of this entry as first written. */
	self: SessionRecord;
	seedPeers: readonly string[];
	store: MonitoredStore;
	instances: InstanceDirectory;
	peers: PeerClients;
	timer: TimerService;
	metrics: Metrics;
	hash: TextHash32;
	getRevisions: () => Pick<SessionRecord, 'configurationRevision' | 'availabilityRevision'>;
};

/** Renews the session of this entry, watches the sessions of other entries, exchanges heartbeats and polls the instance list. */
export class MembershipTask {
	readonly messages = new MessagePublisher<MembershipMessage>();
	readonly #options: MembershipOptions;
	readonly #lease = new SessionLease();
	readonly #observer = new SessionObserver();
	readonly #heartbeats = new HeartbeatTable();
	readonly #watch: ObjectWatch;
	readonly #unsubscribes: Array<() => void> = [];
	/** Entries that were live when the object API last answered. */
	#lastLiveEntryIds = new Set<string>();
	#heartbeatPlan: HeartbeatPlan = {targets: [], intervalMs: 0};
	#lastSentReachesStore = false;
	#heartbeatsSentAt = Number.NEGATIVE_INFINITY;
	#clockCheckedAt: number;
	#self: SessionRecord;
	#servers: readonly BackendServerDescription[] = [];
	#entryIds: readonly string[] = [];
	#isStopped = false;
	/** Version of the session object of this entry; undefined before the first write, which replaces the session of a former process. */
	#version: number | undefined;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#clockCheckedAt = options.timer.now();
		const {store, timer, metrics} = options;
		this.#watch = new ObjectWatch({
			prefix: objectKeys.sessionPrefix, waitMs: sessionWatchMs, minIntervalMs: sessionWatchMs, relistMs: sessionRelistMs, store, timer, metrics,
			notify: state => {
				this.#acceptSessions(state);
			},
		});
	}

	get isStopping(): boolean {
		return this.#self.state === 'stopping';
	}

	/** Ids of the entries in the last instance list, which lags behind the actual state. */
	get entryIds(): readonly string[] {
		return this.#entryIds;
	}

	/** Backend servers in the last instance list, which lags behind the actual state. */
	get servers(): readonly BackendServerDescription[] {
		return this.#servers;
	}

	/** Starts renewals, watches and heartbeats; resolves after the first round, successful or not. */
	async start(): Promise<void> {
		const {timer} = this.#options;
		this.#unsubscribes.push(
			timer.subscribe(clockCheckIntervalMs, now => {
				this.#checkClock(now);
				this.#sendDueHeartbeats(now);
			}),
			timer.subscribe(sessionRenewalMs, () => {
				void this.#renew();
			}),
		);
		await Promise.all([this.#watch.start(), this.#renew(), this.#readInstances()]);
		this.#sendDueHeartbeats(timer.now());
		void this.#pollInstances();
	}

	/** Ends the lease when the process was suspended; called before any decision that depends on the lease. */
	checkClock(): void {
		this.#checkClock(this.#options.timer.now());
	}

	/** Answers a heartbeat of another entry. */
	acceptHeartbeat(heartbeat: Heartbeat): Heartbeat {
		// A heartbeat that was queued while the process was suspended can be as old as the last check of the clock.
		this.#recordHeartbeat(heartbeat, Math.min(this.#options.timer.now(), this.#clockCheckedAt + clockCheckIntervalMs));
		return this.#createHeartbeat();
	}

	/** Adds sessions received from a peer; used at a start while the object API is down. */
	addSessions(sessions: readonly SessionRecord[]): void {
		const now = this.#options.timer.now();
		for (const session of sessions) {
			if (session.entryId !== this.#self.entryId && !this.#observer.get(session.entryId)?.record) {
				this.#observer.accept(session.entryId, session, now, now);
				this.#lastLiveEntryIds.add(session.entryId);
			}
		}

		this.#updatePlan();
	}

	/** Lists all known sessions, including expired ones and that of this entry. */
	listSessions(): SessionRecord[] {
		return [...this.#observer.list().filter(({entryId}) => entryId !== this.#self.entryId), this.#self];
	}

	getSession(entryId: string): SessionRecord | undefined {
		return this.#observer.get(entryId)?.record;
	}

	/** Connection to another entry; undefined when its address is not known. */
	findPeer(entryId: string): PeerClient | undefined {
		const session = this.getSession(entryId);
		return session && this.#options.peers.get(session.peerAddress);
	}

	/**
	 * Lists the sessions of the live entries, including this one. In an outage of the object API these are the entries that were last seen live,
	 * except heartbeat targets that do not answer.
	 */
	listLiveSessions(): SessionRecord[] {
		const now = this.#options.timer.now();
		const others = this.#observer.list().filter(({entryId}) => entryId !== this.#self.entryId && this.#isLive(entryId, now));
		return [...others, this.#self];
	}

	/** True when an entry exchanged a heartbeat with this one recently. */
	hasFreshHeartbeat(entryId: string): boolean {
		return this.#heartbeats.get(entryId, this.#options.timer.now()) !== undefined;
	}

	findHighestRevision(kind: 'configurationRevision' | 'availabilityRevision'): {entryId: string; revision: number} | undefined {
		return this.#heartbeats.findHighestRevision(kind, this.#options.timer.now());
	}

	/** Writes the state `stopping` to the session of this entry, so that callers are no longer directed to this entry. */
	async setStopping(): Promise<void> {
		this.#self = {...this.#self, state: 'stopping'};
		await this.#renew();
	}

	/** Ends renewals and watches and deletes the session. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#watch.stop();
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		await this.#options.store.delete(this.#sessionKey, this.#version === undefined ? undefined : {version: this.#version}, {timeoutMs: renewalTimeoutMs});
	}

	get #sessionKey(): string {
		return `${objectKeys.sessionPrefix}${this.#self.entryId}`;
	}

	async #renew(): Promise<void> {
		const {store, timer, metrics, getRevisions} = this.#options;
		this.#self = {...this.#self, ...getRevisions(), renewal: this.#self.renewal + 1};
		const sentAt = timer.now();
		const condition = this.#version === undefined ? undefined : {version: this.#version};
		const result = await store.put(this.#sessionKey, this.#self, condition, {timeoutMs: renewalTimeoutMs});
		if (!result.ok) {
			metrics.count(counterNames.sessionRenewalFailed);
			debug('session renewal failed: %o', result.error);
			if (result.error.kind === 'version_mismatch' || result.error.kind === 'not_found') {
				await this.#readVersion();
			}

			return;
		}

		this.#version = result.value.version;
		metrics.count(counterNames.sessionRenewed);
		this.checkClock();
		this.#lease.recordRenewal(sentAt, timer.now());
		this.messages.publish({type: 'lease', validUntil: this.#lease.validUntil});
	}

	/**
	 * Reads the version of this entry's session after a mismatch. The cause is a renewal whose answer was lost, or another process
	 * that started with the same id. In the second case this process lets its lease expire, so that the two never own the same servers.
	 */
	async #readVersion(): Promise<void> {
		const {store, metrics} = this.#options;
		const result = await store.get(this.#sessionKey, {timeoutMs: renewalTimeoutMs});
		const session = result.ok ? sessionRecordSchema.safeParse(result.value.value).data : undefined;
		if (result.ok && session?.epoch === this.#self.epoch) {
			this.#version = result.value.version;
		} else if (!result.ok && result.error.kind === 'not_found') {
			this.#version = undefined;
		} else if (session !== undefined) {
			metrics.count(counterNames.sessionReplaced);
			debug('another process with the same id replaced the session of %s', this.#self.entryId);
		}
	}

	#checkClock(now: number): void {
		const {validUntil} = this.#lease;
		const hasClockGap = now - this.#clockCheckedAt >= clockGapMs;
		this.#clockCheckedAt = now;
		const hasEnded = this.#lease.checkClock(now, Date.now());
		// The ownership task applies `validUntil` by itself; it must be notified when the wall clock has ended the lease before that time.
		const isEarly = hasEnded && now < validUntil;
		if (isEarly) {
			this.messages.publish({type: 'lease', validUntil: this.#lease.validUntil});
		}

		if (isEarly || hasClockGap) {
			this.#options.metrics.count(counterNames.clockGap);
			debug('clock gap: the process was suspended or the wall clock jumped');
		}
	}

	#acceptSessions({objects, sentAt}: WatchedState): void {
		const sessions = [...objects.values()].flatMap(({value}) => sessionRecordSchema.safeParse(value).data ?? []);
		const now = this.#options.timer.now();
		this.#observer.acceptList(sessions, sentAt, now);
		this.#lastLiveEntryIds = new Set(sessions.map(({entryId}) => entryId).filter(entryId => this.#observer.isLive(entryId, now)));
		this.#updatePlan();
		this.messages.publish({type: 'sessions', sessions, sentAt});
	}

	#isLive(entryId: string, now: number): boolean {
		if (this.#observer.isLive(entryId, now) || this.#heartbeats.get(entryId, now) !== undefined) {
			return true;
		}

		return !this.#options.store.isReachable() && this.#lastLiveEntryIds.has(entryId) && !this.#heartbeatPlan.targets.includes(entryId);
	}

	#updatePlan(): void {
		const others = [...this.#lastLiveEntryIds].filter(entryId => entryId !== this.#self.entryId);
		this.#heartbeatPlan = selectHeartbeatTargets(this.#self.entryId, others, this.#options.hash);
	}

	#sendDueHeartbeats(now: number): void {
		const reachesStore = this.#options.store.isReachable();
		const isDue = now - this.#heartbeatsSentAt >= this.#heartbeatPlan.intervalMs - (clockCheckIntervalMs / 2);
		// Peers must learn of an outage before sessions expire, so a change of the reachability is sent at once.
		if (!isDue && reachesStore === this.#lastSentReachesStore) {
			return;
		}

		this.#heartbeatsSentAt = now;
		this.#lastSentReachesStore = reachesStore;
		for (const {entryId, peerAddress} of this.#heartbeatPlan.targets.flatMap(target => this.getSession(target) ?? [])) {
			void this.#exchangeHeartbeat(this.#options.peers.get(peerAddress), entryId);
		}

		if (this.#lastLiveEntryIds.size <= 1) {
			for (const address of this.#options.seedPeers) {
				void this.#exchangeHeartbeat(this.#options.peers.get(address), undefined);
			}
		}
	}

	async #exchangeHeartbeat(peer: PeerClient, entryId: string | undefined): Promise<void> {
		const {timer, metrics} = this.#options;
		const sentAt = timer.now();
		const heartbeat = this.#createHeartbeat();
		const answer = await peer.run(heartbeatTimeoutMs, async (caller, signal) => caller.membership.heartbeat.mutate(heartbeat, {signal}));
		metrics.count(answer.ok ? counterNames.heartbeatSent : counterNames.heartbeatFailed);
		if (answer.ok) {
			this.#recordHeartbeat(answer.value, sentAt);
		} else if (entryId !== undefined && peer.isConnectionRefused) {
			this.messages.publish({type: 'entryEnded', entryId});
		}
	}

	#recordHeartbeat(heartbeat: Heartbeat, sentAt: number): void {
		if (heartbeat.entryId !== this.#self.entryId) {
			this.#heartbeats.accept(heartbeat, sentAt);
			this.messages.publish({type: 'heartbeat', heartbeat, sentAt});
		}
	}

	#createHeartbeat(): Heartbeat {
		const {entryId, epoch, failureDomain, state} = this.#self;
		return {
			entryId, epoch, failureDomain, state, reachesStore: this.#options.store.isReachable(), ...this.#options.getRevisions(),
		};
	}

	async #pollInstances(): Promise<void> {
		while (!this.#isStopped) {
			const instances = this.#servers.length + this.#entryIds.length;
			await waitFor(this.#options.timer, Math.min(maxListIntervalMs, Math.max(minListIntervalMs, instances * listIntervalPerInstanceMs)));
			await this.#readInstances();
		}
	}

	async #readInstances(): Promise<void> {
		const result = await this.#options.instances.list();
		if (result.ok && !this.#isStopped) {
			this.#servers = listBackendServers(result.value);
			this.#entryIds = result.value.instances.filter(({kind}) => kind === 'entry').map(({id}) => id);
			this.messages.publish({type: 'instances', servers: this.#servers, entryIds: this.#entryIds});
		}
	}
}

const listBackendServers = ({instances}: InstanceList): BackendServerDescription[] =>
	instances.flatMap(({kind, ...instance}) => kind === 'entry' ? [] : [{...instance, kind}]);
