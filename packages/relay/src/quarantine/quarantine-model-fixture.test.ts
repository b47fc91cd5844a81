import {LostAttempts, type ChainPosition} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {ObjectStore} from '@knapweedrack/platform-client';
import {VirtualClock} from '@knapweedrack/testkit';
import type {StoreCodec, StoredQuarantine} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {crashEvidence} from './crash-detection-task.js';
import type {CrashReport} from './crash-report.js';
import {QuarantineTask} from './quarantine-task.js';

const settleMs = 3000;
/** Time until a server that has ended is back, in ms. */
const serverRestartMs = 3000;
/** Time from the end of a server until its attempts are settled, in ms. */
const detectionMs = 25;
const attemptLimit = 2;
const reportDelayMs = 20;
const stepMs = 5;
const log: DecisionLog = {
	write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
};

/** One process of an entry. */
export type Process = {entryId: string; quarantine: QuarantineTask; lost: LostAttempts; startedAt: number; isAlive: boolean};

/** A request of the model. */
export type ModelRequest = {fingerprints: string[]; runMs: number; endsServer: boolean};

type Attempt = {request: ModelRequest; number: number; process: Process; positions: ChainPosition[]; attemptId: string};
type ModelServer = {id: string; boot: number; upAt: number; attempts: Set<Attempt>};

/** Entries, their servers and store and the network between them, on a virtual clock. */
export class QuarantineModel {
	readonly clock = new VirtualClock();
	readonly processes: Process[] = [];
	readonly stored = new Map<string, StoredQuarantine>();
	/** Attempts of requests that end their servers. */
	readonly sends: Array<{at: number; process: Process}> = [];
	/** Times at which servers ended because of a request. */
	readonly ends: number[] = [];
	/** First attempts of requests that end no server. */
	readonly soundAttempts: Array<{at: number; isRefused: boolean; fingerprints: string[]}> = [];
	readonly servers: ModelServer[];
	#attempts = 0;
	readonly #timer: TimerService;

	/** `isLost` tells for each datagram in turn whether it is lost. */
	constructor(private readonly isLost: () => boolean, serverCount: number) {
		this.servers = Array.from({length: serverCount}, (_, index) => ({
			id: `s${index}`, boot: 0, upAt: 0, attempts: new Set(),
		}));
		const {clock} = this;
		this.#timer = {
			now: () => clock.now,
			subscribe(periodMs, subscriber) {
				let isSubscribed = true;
				clock.scheduleEvery(periodMs, () => {
					if (isSubscribed) {
						subscriber(clock.now);
					}
				});
				return () => {
					isSubscribed = false;
				};
			},
			schedule(delayMs, subscriber) {
				clock.scheduleIn(delayMs, () => {
					subscriber(clock.now);
				});
				return () => undefined;
			},
		};
	}

	startProcess(entryId: string): void {
		const process: Process = {
			entryId, lost: new LostAttempts(), startedAt: this.clock.now, isAlive: true, quarantine: undefined!,
		};
		process.quarantine = this.#buildQuarantine(process);
		process.quarantine.start();
		process.quarantine.applyStored([...this.stored.values()]);
		this.processes.push(process);
	}

	find(entryId: string): Process | undefined {
		return this.processes.find(process => process.isAlive && process.entryId === entryId);
	}

	/** Kills the process of an entry; another one starts after a delay. */
	kill(entryId: string, restartMs: number): void {
		const process = this.find(entryId);
		if (process !== undefined) {
			process.isAlive = false;
			process.quarantine.stop();
			this.clock.scheduleIn(restartMs, () => {
				this.startProcess(entryId);
			});
		}
	}

	/** Ends servers for another reason, all at the same time. */
	endServers(ids: ReadonlySet<string>): void {
		this.#endServers(this.servers.filter(({id, upAt}) => ids.has(id) && upAt <= this.clock.now));
	}

	/** Resets the connections of an entry to servers that go on running. */
	resetConnections(entryId: string): void {
		const process = this.find(entryId);
		for (const {id, boot, attempts} of this.servers) {
			for (const attempt of [...attempts].filter(each => each.process === process)) {
				attempts.delete(attempt);
				this.#loseAttempt(attempt, id, String(boot), {hasEnded: false});
			}
		}
	}

	/** Sends a request through an entry to the running server with the fewest attempts; one that is lost is repeated once at once. */
	request(entryId: string, request: ModelRequest, number = 0): void {
		const process = this.find(entryId);
		if (process === undefined || number === attemptLimit) {
			return;
		}

		const isRefused = process.quarantine.isRefused(request.fingerprints, {hasRun: number > 0});
		if (number === 0 && !request.endsServer) {
			this.soundAttempts.push({at: this.clock.now, isRefused, fingerprints: request.fingerprints});
		}

		const [server] = this.servers.filter(({upAt}) => upAt <= this.clock.now).toSorted((a, b) => a.attempts.size - b.attempts.size);
		if (isRefused || server === undefined) {
			return;
		}

		const attempt: Attempt = {
			request, number, process, positions: process.quarantine.startRun(request.fingerprints), attemptId: `a${this.#attempts++}`,
		};
		server.attempts.add(attempt);
		if (request.endsServer) {
			this.sends.push({at: this.clock.now, process});
		}

		this.clock.scheduleIn(request.runMs, () => {
			this.#finish(server, attempt);
		});
	}

	async run(untilMs: number): Promise<void> {
		for (let at = 0; at <= untilMs; at += stepMs) {
			this.clock.run(at, () => false);
			// Tasks that wait for a timer continue after it.
			await Promise.resolve();
			await Promise.resolve();
			await Promise.resolve();
		}
	}

	/** Counts the attempts that end servers, later than the settle time after the end with the given number, by processes that had run for that time. */
	countLateSends(endCount: number): number {
		const limitedEnd = this.ends[endCount - 1] ?? Number.POSITIVE_INFINITY;
		return this.sends.filter(({at, process}) => at > limitedEnd + settleMs && at - process.startedAt > settleMs).length;
	}

	#finish(server: ModelServer, attempt: Attempt): void {
		const {process, request} = attempt;
		// A server drops a request whose connection closes, as it does when the entry is killed.
		if (!server.attempts.has(attempt) || !process.isAlive) {
			server.attempts.delete(attempt);
			return;
		}

		if (request.endsServer) {
			this.ends.push(this.clock.now);
			this.#endServers([server]);
			return;
		}

		server.attempts.delete(attempt);
		process.quarantine.endRun(request.fingerprints);
		process.quarantine.recordCompletion(request.fingerprints);
	}

	#endServers(servers: readonly ModelServer[]): void {
		const lost = servers.flatMap(({id, boot, attempts}) => [...attempts].map(attempt => ({attempt, id, boot})));
		for (const server of servers) {
			server.boot++;
			server.attempts.clear();
			server.upAt = this.clock.now + serverRestartMs;
		}

		for (const {attempt, id, boot} of lost.filter(({attempt: {process}}) => process.isAlive)) {
			this.#loseAttempt(attempt, id, String(boot));
		}
	}

	#loseAttempt({request, number, process, positions, attemptId}: Attempt, serverId: string, bootId: string, {hasEnded = true} = {}): void {
		const attempt = {
			positions, attemptId, serverId, bootId, lostAt: this.clock.now,
		};
		process.quarantine.endRun(request.fingerprints);
		const settle = process.lost.add(attempt, this.clock.now);
		process.quarantine.recordLoss(attempt);
		this.clock.scheduleIn(detectionMs, () => {
			if (process.isAlive) {
				settle();
				if (hasEnded) {
					process.quarantine.recordCrash(attempt, crashEvidence.refused);
				}

				process.quarantine.withdrawLoss(attemptId);
			}
		});
		this.request(process.entryId, request, number + 1);
	}

	#buildQuarantine(process: Process): QuarantineTask {
		const store: Pick<ObjectStore, 'put'> = {
			put: async (key, value) => {
				this.stored.set(key, value as StoredQuarantine);
				this.clock.scheduleIn(reportDelayMs, () => {
					for (const each of this.processes.filter(({isAlive}) => isAlive)) {
						each.quarantine.applyStored([...this.stored.values()]);
					}
				});
				return {ok: true, value: {version: 1}};
			},
		};
		const codec: Pick<StoreCodec, 'quarantinePrefix' | 'encodeQuarantine'> = {quarantinePrefix: '', encodeQuarantine: quarantine => quarantine};
		return new QuarantineTask({
			entryId: process.entryId, failureDomain: 'east', timer: this.#timer, log, metrics: new RelayMetrics(), store: store as ObjectStore, codec: codec as StoreCodec,
			detection: {listUnsettled: () => process.lost.listUnsettled()},
			sendCrashReport: (report, recipientId) => {
				this.#sendCrashReport(process, report, recipientId);
			},
			isForwarder: () => false,
			isFirstServing: () => this.processes.filter(({isAlive}) => isAlive).every(({entryId}) => process.entryId <= entryId),
			readWallClock: () => this.clock.now,
		});
	}

	#sendCrashReport(sender: Process, report: CrashReport, recipientId: string | undefined): void {
		for (const {entryId} of this.processes.filter(({isAlive}) => isAlive)) {
			const isRecipient = entryId !== sender.entryId && (recipientId ?? entryId) === entryId;
			if (isRecipient && !this.isLost()) {
				this.clock.scheduleIn(reportDelayMs, () => {
					this.find(entryId)?.quarantine.acceptCrashReport(report);
				});
			}
		}
	}
}
