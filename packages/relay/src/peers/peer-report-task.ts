import type {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import type {LoadTable} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {RegisteredEntry} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {ReportedLoad} from './load-codec.js';
import {selectTopology, type ReportTopology} from './report-topology.js';
import {
	decodePeerDatagram, encodeDomainSummary, encodePeerMessage, type DomainSummary, type EntryState, type PeerMessage,
} from './peer-message.js';
import {reportEffects, PeerStates, type ReportEffect} from './peer-states.js';

/** Period in which an entry repeats all its news, in ms; also its heartbeat. */
const heartbeatMs = 500;
/** Time after a change before it is sent, in ms, so that the changes of one moment share a datagram. */
const coalesceMs = 1;
/** Period of the summaries between failure domains, in ms; a compromise of their bytes and the age of the loads. */
const summaryMs = 200;
/** Summaries that still name a backend server without load, so that a lost datagram does not leave the former load in force. */
const emptySummaryCount = 3;
/** Backend servers, or entries, in one datagram, so that it is not fragmented on an Ethernet path. */
const itemsPerDatagram = 16;

/** What the task needs. */
export type PeerReportOptions = {
	entryId: string;
	bootId: string;
	failureDomain: string;
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
export class PeerReportTask {
	readonly #options: PeerReportOptions;
	readonly #socket: Socket;
	readonly #states: PeerStates;
	readonly #changedServerIds = new Set<string>();
	/** Backend servers in the summaries of the own failure domain, with the number of summaries that still name them. */
	readonly #remainingSummaries = new Map<string, number>();
	/** Last summary of each failure domain and collector. */
	readonly #summarySequences = new Map<string, {bootId: string; sequence: number}>();
	readonly #unsubscribes: Array<() => void> = [];
	#peers = new Map<string, RegisteredEntry>();
	#topology: ReportTopology = {memberIds: [], collectorIds: [], isCollector: false};
	#sequence = 0;
	#isSendScheduled = false;

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

	/** Sends the last news at once, for example that the process stops. */
	notifyState(): void {
		this.#sendAll();
		this.#sendEntries();
	}

	/** Notes that the own load of a backend server has changed. */
	notifyLoad(serverId: string): void {
		this.#changedServerIds.add(serverId);
		if (!this.#isSendScheduled) {
			this.#isSendScheduled = true;
			this.#options.timer.schedule(coalesceMs, () => {
				this.#isSendScheduled = false;
				this.#sendChanged();
			});
		}
	}

	/** Applies the list of entries in the store. */
	applyEntries(entries: ReadonlyMap<string, RegisteredEntry>): void {
		const {entryId, loads} = this.#options;
		this.#peers = new Map([...entries].filter(([id]) => id !== entryId));
		for (const id of this.#states.applyRegistered([...this.#peers.keys()])) {
			loads.removePeer(id);
		}

		this.#updateTopology();
	}

	/** True while another entry runs and is not stopping: heard of lately, or too new to have been heard of. */
	isRunning(entryId: string): boolean {
		return this.#states.isRunning(entryId);
	}

	/** True while another entry runs and is ready for callers. */
	isServing(entryId: string): boolean {
		return this.#states.isServing(entryId);
	}

	/** Caller addresses of the entries that were heard of lately and are ready, whether or not the store lists them. */
	listServingAddresses(): string[] {
		return this.#states.listServingAddresses();
	}

	/** Time since an entry was last heard of, or since it was registered, in ms. */
	computeSilenceMs(entryId: string): number {
		return this.#states.computeSilenceMs(entryId);
	}

	close(): void {
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		this.#socket.close();
	}

	#updateTopology(): void {
		const {entryId, failureDomain} = this.#options;
		const others = [...this.#peers.values()];
		this.#topology = selectTopology({id: entryId, failureDomain}, others, id => this.#states.isRunning(id));
		const members = new Set(this.#topology.memberIds);
		this.#states.setCollected(new Set(others.map(({id}) => id).filter(id => !members.has(id))));
	}

	#acceptDatagram(bytes: Buffer): void {
		const datagram = decodePeerDatagram(bytes);
		if (datagram === undefined) {
			this.#options.metrics.countEvent('peers.unreadable');
		} else if (datagram.type === 'entry') {
			this.#acceptMessage(datagram.message);
		} else {
			this.#acceptSummary(datagram.summary);
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

		const now = timer.now();
		for (const {serverId, load} of message.loads) {
			loads.setPeerLoad(message.entryId, serverId, load, now);
		}
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
			loads.setPeerLoad(formatDomainLoadKey(summary.failureDomain), serverId, load, now);
		}

		for (const {ageMs, ...state} of summary.entries) {
			if (state.entryId !== entryId) {
				this.#reportStateChange(state, this.#states.recordCollected(state, ageMs));
			}
		}

		// Whoever a summary is addressed to passes it on, also when it no longer takes itself for the collector.
		if (!summary.isRelayed) {
			this.#sendTo(this.#topology.memberIds, encodeDomainSummary({...summary, isRelayed: true}));
		}
	}

	#reportStateChange({entryId, isReady, version}: EntryState, effect: ReportEffect): void {
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
		if (changed.length > 0) {
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
				loads: ids.map(serverId => ({serverId, load: loads.computeOwnLoad(serverId, now)})),
			}));
		}
	}

	/** Sends the loads of the own failure domain to the collectors of the others. */
	#sendSummary(): void {
		const {collectorIds, isCollector} = this.#topology;
		if (!isCollector || collectorIds.length === 0) {
			return;
		}

		const loads = this.#listDomainLoads();
		if (loads.length > 0) {
			for (const part of splitList(loads)) {
				this.#sendTo(collectorIds, this.#encodeSummary(part, []));
			}
		}
	}

	/** Sends the state of the entries of the own failure domain to the collectors of the others. */
	#sendEntries(): void {
		const {collectorIds, isCollector, memberIds} = this.#topology;
		if (!isCollector || collectorIds.length === 0) {
			return;
		}

		for (const part of splitList([{...this.#buildOwnState(), ageMs: 0}, ...this.#states.listReported(memberIds)])) {
			this.#sendTo(collectorIds, this.#encodeSummary([], part));
		}
	}

	/** Loads of the own failure domain; the ages of prompts that wait are left out, since they would be old on arrival. */
	#listDomainLoads(): ReportedLoad[] {
		const {loads, timer} = this.#options;
		const members = new Set(this.#topology.memberIds);
		const now = timer.now();
		const collected: ReportedLoad[] = [];
		for (const serverId of loads.listServers(members)) {
			const load = loads.computeLoadOf(serverId, members, now);
			const isEmpty = load.requests === 0 && load.memoryTokens === 0 && load.readMs === 0;
			const left = isEmpty ? (this.#remainingSummaries.get(serverId) ?? 0) - 1 : emptySummaryCount;
			this.#remainingSummaries.set(serverId, left);
			if (left >= 0) {
				collected.push({serverId, load: {...load, reads: []}});
			}
		}

		return collected;
	}

	#encodeSummary(loads: ReportedLoad[], entries: DomainSummary['entries']): Buffer {
		const {failureDomain, entryId, bootId} = this.#options;
		this.#sequence++;
		return encodeDomainSummary({
			failureDomain, collectorId: entryId, bootId, sequence: this.#sequence, isRelayed: false, loads, entries,
		});
	}

	#buildOwnState(): EntryState {
		const {entryId, bootId, callerAddress, isReady, isStopping, getVersion} = this.#options;
		return {
			entryId, bootId, callerAddress, isReady: isReady(), isStopping: isStopping(), version: getVersion(),
		};
	}

	#sendTo(entryIds: readonly string[], bytes: Buffer): void {
		for (const id of entryIds) {
			const [host = '', port = '0'] = this.#peers.get(id)?.peerAddress.split(':') ?? [];
			this.#socket.send(bytes, Number(port), host, error => {
				if (error) {
					this.#options.metrics.countEvent('peers.send_failed');
				}
			});
		}
	}
}

/** Name under which the loads of another failure domain are kept; ids of entries hold no slash. */
const formatDomainLoadKey = (failureDomain: string): string => `domain/${failureDomain}`;

/** Splits a list into parts for a datagram each; an empty list is one part, since it still is a sign of life. */
const splitList = <Item>(items: readonly Item[]): Item[][] => {
	const parts: Item[][] = [];
	for (let start = 0; start === 0 || start < items.length; start += itemsPerDatagram) {
		parts.push(items.slice(start, start + itemsPerDatagram));
	}

	return parts;
};
