import {
	AdmissionPoint, refusalReasons,
	type AdmissionCommand, type AdmissionEvent, type BackendServerDescription, type BackendServerProfile, type EngineReport,
	type LoadSnapshot, type OwnershipMode, type PermitReply, type PermitRequest, type RefusalReason,
} from '@knapweedrack/core';
import type {Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import type {EngineClient} from './engine-client.js';

/** Consecutive failed status calls after which an engine counts as unavailable; one lost answer must not refuse its whole queue. */
const failedStatusCallLimit = 3;
const unavailableRetryAfterMs = 1000;

/** Capacity assumed for a plain service, which reports none: limited concurrency and practically unlimited tokens. */
const serviceCapacity: Omit<BackendServerProfile, 'id'> = {
	kvTokens: 1_000_000_000, prefillTokensPerSecond: 1_000_000_000, maxConcurrency: 64, coldConcurrency: 8, coldPrefillTokens: 1_000_000_000,
};

/** Dependencies of an owned backend server. */
export type OwnedServerOptions = {
	description: BackendServerDescription;
	engines: EngineClient;
	timer: TimerService;
	metrics: Metrics;
	getMode: () => OwnershipMode;
	getFencingNumber: () => number;
	/** Called after each status report of the engine. */
	notifyReport: (report: EngineReport) => void;
};

type Waiter = (reply: PermitReply) => void;

/** One backend server that this entry owns: its admission point, waiting permit requests and status. */
export class OwnedServer {
	description: BackendServerDescription;
	readonly #options: OwnedServerOptions;
	readonly #waiters = new Map<string, Waiter[]>();
	/** Requests that arrived before the engine's first report, by attempt id; the admission point is created from that report. */
	readonly #requestsBeforeReport = new Map<string, PermitRequest>();
	readonly #recordedFirstTokens = new Set<string>();
	#admissionPoint: AdmissionPoint | undefined;
	#report: EngineReport | undefined;
	#mode: OwnershipMode = 'stopped';
	#failedStatusCalls = 0;
	#isPolling = false;

	constructor(options: OwnedServerOptions) {
		this.#options = options;
		this.description = options.description;
		if (options.description.kind === 'service') {
			this.#openAdmissionPoint({...serviceCapacity, id: options.description.id}, false);
		}
	}

	get load(): LoadSnapshot | undefined {
		return this.#admissionPoint?.load;
	}

	/** Last status report of the engine; undefined before the first one and for services. */
	get report(): EngineReport | undefined {
		return this.#report;
	}

	/** Resolves when the request is granted or refused. */
	async request(request: PermitRequest): Promise<PermitReply> {
		this.#updateMode();
		if (this.#mode === 'stopped') {
			return this.#createRefusal(refusalReasons.ownershipDisputed, unavailableRetryAfterMs);
		}

		if (this.#failedStatusCalls >= failedStatusCallLimit) {
			return this.#createRefusal(refusalReasons.noBackendServer, unavailableRetryAfterMs);
		}

		return new Promise(resolve => {
			this.#waiters.set(request.attemptId, [...this.#waiters.get(request.attemptId) ?? [], resolve]);
			if (this.#admissionPoint) {
				this.handle({type: 'request', request});
			} else {
				this.#requestsBeforeReport.set(request.attemptId, request);
			}
		});
	}

	/** Withdraws a permit request. A waiting request is refused with `caller_gone`; a permit that was granted is released. */
	withdraw(requestId: string, attemptId: string): void {
		this.#requestsBeforeReport.delete(attemptId);
		this.handle({type: 'withdraw', requestId, attemptId});
		this.#resolveWaiters(attemptId, this.#createRefusal(refusalReasons.callerGone, 0));
	}

	/** Records the first token of a permit once, although a renewal and a release can both report it. */
	recordFirstToken(permitId: string): void {
		if (!this.#recordedFirstTokens.has(permitId)) {
			this.#recordedFirstTokens.add(permitId);
			this.handle({type: 'firstToken', permitId});
		}
	}

	release(event: AdmissionEvent & {type: 'release'}): void {
		this.handle(event);
		this.#recordedFirstTokens.delete(event.permitId);
		if (event.result === 'crashed') {
			void this.poll();
		}
	}

	/** Renews permits; returns the ids that the admission point does not know. */
	renew(permitIds: string[]): string[] {
		this.handle({type: 'renew', permitIds});
		return permitIds.filter(permitId => !this.#admissionPoint?.hasPermit(permitId));
	}

	/** Passes an event to the admission point and runs the commands that it returns. */
	handle(event: AdmissionEvent): void {
		for (const command of this.#admissionPoint?.handle(event, this.#options.timer.now()) ?? []) {
			this.#run(command);
		}
	}

	/** Applies a changed ownership mode and times out queued requests. */
	handleTick(): void {
		this.#updateMode();
		this.handle({type: 'tick'});
	}

	/** Fetches the engine's status; does nothing for a service or while a fetch is in progress. */
	async poll(): Promise<void> {
		if (this.#isPolling || this.description.kind === 'service') {
			return;
		}

		this.#isPolling = true;
		const {engines, timer, metrics} = this.#options;
		const startedAt = timer.now();
		const report = await engines.fetchStatus(this.description.address);
		this.#isPolling = false;
		if (report) {
			metrics.recordDuration('engine.poll', timer.now() - startedAt);
			this.#acceptReport(report);
		} else {
			this.#acceptFailure();
		}
	}

	/** Stops granting permits and refuses all waiting requests; called when the ownership ends. */
	close(): void {
		this.#mode = 'stopped';
		this.handle({type: 'mode', mode: 'stopped'});
		this.#refuseAll(refusalReasons.ownershipDisputed);
	}

	#openAdmissionPoint(profile: BackendServerProfile, hasReports: boolean): void {
		this.#admissionPoint = new AdmissionPoint(profile, {fencingNumber: this.#options.getFencingNumber(), hasReports});
		this.#mode = this.#options.getMode();
		this.handle({type: 'mode', mode: this.#mode});
	}

	#acceptReport(report: EngineReport): void {
		this.#failedStatusCalls = 0;
		if (this.#report && this.#report.bootId !== report.bootId) {
			this.#options.metrics.count(counterNames.engineRestarted);
		}

		this.#report = report;
		if (!this.#admissionPoint) {
			this.#openAdmissionPoint(report.profile, true);
		}

		this.handle({type: 'report', report});
		this.#options.notifyReport(report);
		for (const [attemptId, request] of this.#requestsBeforeReport) {
			this.#requestsBeforeReport.delete(attemptId);
			this.handle({type: 'request', request});
		}
	}

	#acceptFailure(): void {
		this.#failedStatusCalls++;
		this.#options.metrics.count(counterNames.engineUnreachable);
		if (this.#failedStatusCalls === failedStatusCallLimit) {
			this.#refuseAll(refusalReasons.noBackendServer);
		}
	}

	#refuseAll(reason: RefusalReason): void {
		for (const attemptId of this.#waiters.keys()) {
			this.#requestsBeforeReport.delete(attemptId);
			this.handle({type: 'withdraw', requestId: '', attemptId});
			this.#resolveWaiters(attemptId, this.#createRefusal(reason, unavailableRetryAfterMs));
		}
	}

	#updateMode(): void {
		const mode = this.#options.getMode();
		if (mode !== this.#mode) {
			this.#mode = mode;
			this.handle({type: 'mode', mode});
		}
	}

	#run(command: AdmissionCommand): void {
		const handlers: {[Type in AdmissionCommand['type']]: (command: AdmissionCommand & {type: Type}) => void} = {
			grant: ({permit}) => {
				this.#options.metrics.count(counterNames.permitGranted);
				// The owner record may have been rewritten with another fencing number since the admission point was created.
				this.#resolveWaiters(permit.attemptId, {
					type: 'granted', permit: {...permit, fencingNumber: this.#options.getFencingNumber()}, load: this.#admissionPoint!.load,
				});
			},
			refuse: ({attemptId, reason, retryAfterMs}) => {
				this.#options.metrics.count(counterNames.permitRefused);
				this.#resolveWaiters(attemptId, this.#createRefusal(reason, retryAfterMs));
			},
			cancel: ({requestId}) => {
				void this.#cancel(requestId);
			},
		};
		(handlers[command.type] as (command: AdmissionCommand) => void)(command);
	}

	#resolveWaiters(attemptId: string, reply: PermitReply): void {
		const waiters = this.#waiters.get(attemptId) ?? [];
		this.#waiters.delete(attemptId);
		for (const resolve of waiters) {
			resolve(reply);
		}
	}

	/** Cancels a request on the engine; sent only while this entry's ownership is valid. */
	async #cancel(requestId: string): Promise<void> {
		if (this.#options.getMode() !== 'stopped' && await this.#options.engines.cancel(this.description.address, requestId)) {
			this.#options.metrics.count(counterNames.engineCancelled);
		}
	}

	#createRefusal(reason: RefusalReason, retryAfterMs: number): PermitReply {
		return {
			type: 'refused', reason, retryAfterMs, load: this.load,
		};
	}
}
