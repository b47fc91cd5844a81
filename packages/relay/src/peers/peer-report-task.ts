import type {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {
	formatDomainKey, mergeDemands, WaitingReports, type LoadTable, type WaitingDemand,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {RegisteredEntry} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {encodeCrashReport, type CrashReport} from '../quarantine/crash-report.js';
import {encodeLimitReport, type LimitReport} from '../server-limits/limit-report.js';
import {encodeNoticeReport, type NoticeReport} from '../server-notices/notice-report.js';
import type {ReportedLoad} from './load-codec.js';
import {listSummaryDomains, selectTopology, type ReportTopology} from './report-topology.js';
import {
	decodePeerDatagram, encodeDomainSummary, encodePeerMessage, type DomainSummary, type EntryState, type PeerMessage,
} from './peer-message.js';
import {reportEffects, PeerStates, type EntryReportEffect} from './peer-states.js';

/** Interval at which an entry sends its state and all its loads, in ms. */
const heartbeatMs = 500;
/** Delay before a changed load is sent, in ms, so that simultaneous changes share a datagram. */
const coalesceMs = 1;
/** Interval of the summaries between failure domains, in ms: a compromise between traffic and the age of the loads. */
const summaryMs = 200;
/**
 * Number of summaries that still include a backend server without load, so that a lost datagram does not leave its previous
 * load in use.
 */
const emptySummaryCount = 3;
/** Maximum number of loads or entries in one datagram, so that it is not fragmented on an Ethernet path. */
const itemsPerDatagram = 16;

/** Dependencies of the peer report task. */
export type PeerReportOptions = {
	entryId: string;
	bootId: string;
	failureDomain: string;
	callerAddress: string;
	/** Address of the datagram socket. */
	address: {host: string; port: number};
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	loads: LoadTable;
	isReady: () => boolean;
	isStopping: () => boolean;
	/** True while this entry reaches no backend server by its own connections. */
	isCutOff: () => boolean;
	getVersion: () => number;
	/** What waits at this entry. */
	listWaiting: () => WaitingDemand[];
	/** Called when another entry has reported loads. */
	notifyReported: () => void;
	/** Called with the crash reports of other entries. */
	acceptCrashReport: (report: CrashReport) => void;
	/** Called with the limit reports of other entries. */
	acceptLimitReport: (report: LimitReport) => void;
	acceptNoticeReport: (report: NoticeReport) => void;
	/** Called when an entry reports to this one for the first time, after a restart or a silence, or with another readiness. */
	notifyStarted: (entryId: string) => void;
};

/**
 * Exchanges load reports with the other entries. Reports are sent as datagrams without acknowledgement, because
 * an old report is useless and the next heartbeat replaces a lost one.
 */
export class PeerReportTask {
	readonly #options: PeerReportOptions;
	readonly #socket: Socket;
	readonly #states: PeerStates;
	readonly #changedServerIds = new Set<string>();
	/** By backend server, the number of summaries that must still include it after its load has become empty. */
	readonly #remainingSummaries = new Map<string, number>();
	/** Last received summary by failure domain and collector; older ones are ignored. */
	readonly #summarySequences = new Map<string, {bootId: string; sequence: number}>();
	readonly #unsubscribes: Array<() => void> = [];
	#peers = new Map<string, RegisteredEntry>();
	#topology: ReportTopology = {memberIds: [], collectorIds: [], isCollector: false};
	#summaryDomains: readonly string[] = [];
	#sequence = 0;
	#isSendScheduled = false;
	#isWaitingChanged = false;
	readonly #waiting = new WaitingReports();
	/** True when the last summary named waiting requests, so that the next one must say that none are left. */
	#hasSummarizedWaiting = false;

	constructor(options: PeerReportOptions) {
		this.#options = options;
		this.#states = new PeerStates(() => options.timer.now());
		this.#socket = createSocket('udp4');
		this.#socket.on('message', bytes => {
			this.#acceptDatagram(bytes);
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
		this.#unsubscribes.push(
			timer.subscribe(heartbeatMs, () => {
				this.#updateTopology();
				this.#sendAll();
				this.#sendEntries();
			}),
			timer.subscribe(summaryMs, () => {
				this.#sendSummary();
			}),
		);
	}

	/** Sends the current state at once, for example that the process is stopping. */
	notifyState(): void {
		this.#sendAll();
		this.#sendEntries();
	}

	/** Schedules a report of the load that this entry puts on a backend server. */
	notifyLoad(serverId: string): void {
		this.#changedServerIds.add(serverId);
		this.#scheduleSend();
	}

	/** Schedules a report of what waits at this entry. */
	notifyWaiting(): void {
		this.#isWaitingChanged = true;
		this.#scheduleSend();
	}

	/** What waits at other entries, as far as their reports are fresh; undefined while no other entry is heard. */
	listWaitingElsewhere(): WaitingDemand[] | undefined {
		const now = this.#options.timer.now();
		return this.#waiting.hasFresh(now) ? this.#waiting.list(now) : undefined;
	}

	/** Sends crash reports to one entry, or to all entries that this one reports to. */
	sendCrashReport(report: CrashReport, recipientId?: string): void {
		this.#sendReport(encodeCrashReport(report, this.#options.timer.now()), recipientId);
	}

	/** Sends a limit report to one entry, or to all entries that this one reports to. */
	sendLimitReport(report: LimitReport, recipientId?: string): void {
		this.#sendReport(encodeLimitReport(report, this.#options.timer.now()), recipientId);
	}

	/** Sends a notice report to one entry, or to all entries that this one reports to. */
	sendNoticeReport(report: NoticeReport, recipientId?: string): void {
		this.#sendReport(encodeNoticeReport(report), recipientId);
	}

	/** True when the entries that this one reports to do not all receive the crash reports of a failure domain from its sender. */
	isForwarder(failureDomain: string): boolean {
		const {collectorIds, isCollector} = this.#topology;
		return collectorIds.length > 0 && (isCollector || failureDomain !== this.#options.failureDomain);
	}

	/** Applies the list of entries that the store holds. */
	applyEntries(entries: ReadonlyMap<string, RegisteredEntry>): void {
		const {entryId, loads} = this.#options;
		this.#peers = new Map([...entries].filter(([id]) => id !== entryId));
		for (const id of this.#states.applyRegistered([...this.#peers.keys()])) {
			loads.removePeer(id);
		}

		this.#updateTopology();
	}

	/** Sorted failure domains with running entries while their loads come in summaries, so that these are aged; empty while reports are direct. */
	get summaryDomains(): readonly string[] {
		return this.#summaryDomains;
	}

	/** True while a peer runs and is not stopping: it sent a message recently, or registered too recently to have sent one. */
	isRunning(entryId: string): boolean {
		return this.#states.isRunning(entryId);
	}

	/** True while a peer runs and is ready for callers. */
	isServing(entryId: string): boolean {
		return this.#states.isServing(entryId);
	}

	/** True while a peer serves callers and reaches backend servers by its own connections. */
	isReachingServers(entryId: string): boolean {
		return this.#states.isReachingServers(entryId);
	}

	/** Listed entries that run and are not stopping, without this one. */
	listRunningPeers(): RegisteredEntry[] {
		return [...this.#peers.values()].filter(({id}) => this.#states.isRunning(id));
	}

	/** Listed entries that serve callers and reach backend servers by their own connections, without this one. */
	listReachingPeers(): RegisteredEntry[] {
		return [...this.#peers.values()].filter(({id}) => this.#states.isReachingServers(id));
	}

	/** Caller addresses of the peers that sent a message recently and are ready, whether or not the store lists them. */
	listServingAddresses(): string[] {
		return this.#states.listServingAddresses();
	}

	/** Ids of the listed entries that serve callers, without this one. */
	listServingPeers(): string[] {
		return [...this.#peers.keys()].filter(id => this.#states.isServing(id));
	}

	/** Time since the last message from a peer, or since its registration when there was none, in ms. */
	computeSilenceMs(entryId: string): number {
		return this.#states.computeSilenceMs(entryId);
	}

	close(): void {
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		this.#socket.close();
	}

	#scheduleSend(): void {
		if (!this.#isSendScheduled) {
			this.#isSendScheduled = true;
			this.#options.timer.schedule(coalesceMs, () => {
				this.#isSendScheduled = false;
				this.#sendChanged();
			});
		}
	}

	#updateTopology(): void {
		const {entryId, failureDomain} = this.#options;
		const others = [...this.#peers.values()];
		this.#summaryDomains = listSummaryDomains({id: entryId, failureDomain}, others, id => this.#states.isRunning(id));
		this.#topology = selectTopology({id: entryId, failureDomain}, others, id => this.#states.isRunning(id));
		const members = new Set(this.#topology.memberIds);
		this.#states.setCollected(new Set(others.map(({id}) => id).filter(id => !members.has(id))));
	}

	#acceptDatagram(bytes: Buffer): void {
		const datagram = decodePeerDatagram(bytes, this.#options.timer.now());
		if (datagram === undefined) {
			this.#options.metrics.countEvent('peers.unreadable');
			return;
		}

		switch (datagram.type) {
			case 'entry': {
				this.#acceptMessage(datagram.message);
				break;
			}

			case 'summary': {
				this.#acceptSummary(datagram.summary);
				break;
			}

			case 'crash_report': {
				this.#options.acceptCrashReport(datagram.report);
				break;
			}

			case 'limit_report': {
				this.#options.acceptLimitReport(datagram.report);
				break;
			}

			case 'notice_report': {
				this.#options.acceptNoticeReport(datagram.report);
				break;
			}
		}
	}

	#acceptMessage(message: PeerMessage): void {
		const {timer, loads} = this.#options;
		const effect = this.#states.record(message, message.sequence);
		if (effect === reportEffects.stale) {
			return;
		}

		this.#reportStateChange(message, effect);
		if (effect === reportEffects.restarted) {
			loads.removePeer(message.entryId);
		}

		if (effect !== reportEffects.known) {
			this.#options.notifyStarted(message.entryId);
		}

		const now = timer.now();
		for (const {serverId, load} of message.loads) {
			loads.setPeerLoad(message.entryId, serverId, load, now);
		}

		this.#waiting.record(message.entryId, message.waiting, now);
		this.#options.notifyReported();
	}

	#acceptSummary(summary: DomainSummary): void {
		const {failureDomain, timer, loads, entryId} = this.#options;
		const source = `${summary.failureDomain}/${summary.collectorId}`;
		const known = this.#summarySequences.get(source);
		const isStale = known?.bootId === summary.bootId && summary.sequence <= known.sequence;
		if (summary.failureDomain === failureDomain || isStale) {
			return;
		}

		this.#summarySequences.set(source, {bootId: summary.bootId, sequence: summary.sequence});
		const now = timer.now();
		for (const {serverId, load} of summary.loads) {
			loads.setDomainLoad(summary.failureDomain, serverId, load, now);
		}

		this.#waiting.record(formatDomainKey(summary.failureDomain), summary.waiting, now);
		this.#options.notifyReported();
		for (const {ageMs, ...state} of summary.entries) {
			if (state.entryId !== entryId) {
				this.#reportStateChange(state, this.#states.recordCollected(state, ageMs));
			}
		}

		// The recipient relays the summary even when it no longer considers itself the collector, since the sender addressed no other
		// entry of this domain.
		if (!summary.isRelayed) {
			this.#sendTo(this.#topology.memberIds, encodeDomainSummary({...summary, isRelayed: true}));
		}
	}

	#reportStateChange({entryId, isReady, version}: EntryState, effect: EntryReportEffect): void {
		if (effect === reportEffects.changed || effect === reportEffects.restarted) {
			this.#options.log.write('peer.heard', {
				peer: entryId, isReady, isRestarted: effect === reportEffects.restarted, version,
			});
		}
	}

	#sendAll(): void {
		this.#changedServerIds.clear();
		this.#sendLoads(this.#options.loads.listOwnServers());
	}

	#sendChanged(): void {
		const changed = [...this.#changedServerIds];
		this.#changedServerIds.clear();
		if (changed.length > 0 || this.#isWaitingChanged) {
			this.#isWaitingChanged = false;
			this.#sendLoads(changed);
		}
	}

	#sendLoads(serverIds: readonly string[]): void {
		const {timer, loads} = this.#options;
		const now = timer.now();
		for (const ids of splitList(serverIds)) {
			this.#sequence++;
			this.#sendTo(this.#topology.memberIds, encodePeerMessage({
				...this.#buildOwnState(), sequence: this.#sequence,
				loads: ids.map(serverId => ({serverId, load: loads.computeOwnLoad(serverId, now)})), waiting: this.#options.listWaiting(),
			}));
		}
	}

	/** Sends the loads of this entry's failure domain to the collectors of the other domains. */
	#sendSummary(): void {
		const {collectorIds, isCollector} = this.#topology;
		if (!isCollector || collectorIds.length === 0) {
			return;
		}

		const loads = this.#listDomainLoads();
		const hasWaiting = this.#listDomainWaiting().length > 0;
		if (loads.length > 0 || hasWaiting || this.#hasSummarizedWaiting) {
			this.#hasSummarizedWaiting = hasWaiting;
			for (const part of splitList(loads)) {
				this.#sendTo(collectorIds, this.#encodeSummary(part, []));
			}
		}
	}

	/** Sends the states of the entries of this failure domain to the collectors of the other domains. */
	#sendEntries(): void {
		const {collectorIds, isCollector, memberIds} = this.#topology;
		if (!isCollector || collectorIds.length === 0) {
			return;
		}

		for (const part of splitList([{...this.#buildOwnState(), ageMs: 0}, ...this.#states.listReported(memberIds)])) {
			this.#sendTo(collectorIds, this.#encodeSummary([], part));
		}
	}

	/** Loads of this entry's failure domain; waiting prompts are omitted, because their ages would be outdated on arrival. */
	#listDomainLoads(): ReportedLoad[] {
		const {loads, timer} = this.#options;
		const members = new Set(this.#topology.memberIds);
		const now = timer.now();
		const collected: ReportedLoad[] = [];
		for (const serverId of loads.listServers(members)) {
			const load = loads.computeLoadOfEntries(serverId, members, now);
			const isEmpty = load.requests === 0 && load.memoryTokens === 0 && load.prefillMs === 0;
			const left = isEmpty ? (this.#remainingSummaries.get(serverId) ?? 0) - 1 : emptySummaryCount;
			this.#remainingSummaries.set(serverId, left);
			if (left >= 0) {
				collected.push({serverId, load: {...load, prefills: []}});
			}
		}

		return collected;
	}

	/** What waits at the entries of this failure domain. */
	#listDomainWaiting(): WaitingDemand[] {
		const members = new Set(this.#topology.memberIds);
		return mergeDemands([...this.#options.listWaiting(), ...this.#waiting.list(this.#options.timer.now(), source => members.has(source))]);
	}

	#encodeSummary(loads: ReportedLoad[], entries: DomainSummary['entries']): Buffer {
		const {failureDomain, entryId, bootId} = this.#options;
		this.#sequence++;
		return encodeDomainSummary({
			failureDomain, collectorId: entryId, bootId, sequence: this.#sequence, isRelayed: false, loads, waiting: this.#listDomainWaiting(), entries,
		});
	}

	#buildOwnState(): EntryState {
		const {entryId, bootId, callerAddress, isReady, isStopping, isCutOff, getVersion} = this.#options;
		return {
			entryId, bootId, callerAddress, isReady: isReady(), isStopping: isStopping(), isCutOff: isCutOff(), version: getVersion(),
		};
	}

	#sendReport(datagrams: readonly Buffer[], recipientId: string | undefined): void {
		const {memberIds, collectorIds, isCollector} = this.#topology;
		const recipientIds = recipientId === undefined ? [...memberIds, ...(isCollector ? collectorIds : [])] : [recipientId];
		for (const datagram of datagrams) {
			this.#sendTo(recipientIds, datagram);
		}
	}

	#sendTo(entryIds: readonly string[], bytes: Buffer): void {
		for (const id of entryIds) {
			const address = this.#peers.get(id)?.peerAddress;
			if (address === undefined) {
				continue;
			}

			const [host = '', port = '0'] = address.split(':');
			this.#socket.send(bytes, Number(port), host, error => {
				if (error) {
					this.#options.metrics.countEvent('peers.send_failed');
				}
			});
		}
	}
}

/** Splits a list into parts of one datagram each. An empty list is one empty part, because its datagram is still a heartbeat. */
const splitList = <Item>(items: readonly Item[]): Item[][] => {
	const parts: Item[][] = [];
	for (let start = 0; start === 0 || start < items.length; start += itemsPerDatagram) {
		parts.push(items.slice(start, start + itemsPerDatagram));
	}

	return parts;
};
