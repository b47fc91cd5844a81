import {
	AdmissionPoint,
	type AdmissionEvent, type AdmissionOptions, type PermitReply, type PermitRequest,
} from '@knapweedrack/core';
import type {EntryLocation, SimulationWorld} from './simulation-world.js';
import type {SimulatedServer} from './simulated-server.js';

const reportIntervalMs = 500;
/** Delay in ms from the creation of a report to its arrival, and so the age of its load figures. */
const reportAgeMs = 250;
const tickIntervalMs = 25;
/** Warm-up factor at which the limits of a cold server no longer restrict anything. */
const unrestrictedWarmupFactor = 1024;

/** Admission point of one server at its owner, which polls the server's status reports. */
export class OwnedAdmissionPoint {
	/** Whether the owner has learned that the server's failure domain is out of service. */
	isOutOfService = false;
	readonly admissionPoint: AdmissionPoint;
	readonly #replies = new Map<string, (reply: PermitReply) => void>();

	constructor(private readonly world: SimulationWorld, readonly owner: EntryLocation, readonly server: SimulatedServer, options: AdmissionOptions) {
		this.admissionPoint = new AdmissionPoint(server.profile, {
			fencingNumber: 1, ...options, handover: {bootId: server.bootId, factor: unrestrictedWarmupFactor},
		});
	}

	start(): void {
		this.#poll(0);
		this.world.clock.scheduleEvery(reportIntervalMs, () => {
			this.#poll(reportAgeMs);
		});
		this.world.clock.scheduleEvery(tickIntervalMs, () => {
			this.handle({type: 'tick'});
		});
	}

	/** Requests a permit; `reply` is called at the owner, without network delay, when the request is granted or refused. */
	request(request: PermitRequest, reply: (reply: PermitReply) => void): void {
		this.#replies.set(request.attemptId, reply);
		this.handle({type: 'request', request});
	}

	handle(event: AdmissionEvent): void {
		for (const command of this.admissionPoint.handle(event, this.world.clock.now)) {
			if (command.type === 'cancel') {
				this.world.send(this.owner, this.server, () => {
					this.server.cancel(command.requestId);
				});
				continue;
			}

			const attemptId = command.type === 'grant' ? command.permit.attemptId : command.attemptId;
			const reply = this.#replies.get(attemptId);
			this.#replies.delete(attemptId);
			const {load} = this.admissionPoint;
			reply?.(command.type === 'grant'
				? {type: 'granted', permit: command.permit, load}
				: {
					type: 'refused', reason: command.reason, retryAfterMs: command.retryAfterMs, load,
				});
		}
	}

	/** Records whether the server's failure domain is out of service. While it is, the server is reported as leaving, so the owner grants no permits. */
	setOutOfService(isOutOfService: boolean): void {
		this.isOutOfService = isOutOfService;
		this.#poll(0);
	}

	#poll(ageMs: number): void {
		const state = () => this.isOutOfService ? 'leaving' as const : 'live' as const;
		const report = this.server.createReport(state());
		this.world.clock.scheduleIn(ageMs, () => {
			const present = report?.bootId === this.server.bootId ? report : this.server.createReport(state());
			if (present !== undefined && !this.server.isDown) {
				this.handle({type: 'report', report: {...present, state: state()}});
			}
		});
	}
}

