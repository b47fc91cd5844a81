import type {RefusalReason} from '@knapweedrack/core';
import type {EngineWork} from '../engine/engine-model.js';
import type {TraceRequest} from './load-trace.js';
import type {SimulatedDeployment} from './simulated-deployment.js';
import {SimulatedServer, type WorkAnswer, type WorkEvent} from './simulated-server.js';
import type {VirtualClock} from './virtual-clock.js';

/** Id and failure domain of an entry. */
export type EntryLocation = {id: string; failureDomain: string};

/** How a request ended for its caller. */
export type RequestEnd =
	| {type: 'completed'}
	/** No backend server started the request. */
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number}
	| {type: 'failed'; reason: RefusalReason};

/** Result of one request as seen by the caller; times in ms since the caller sent it. */
export type RequestResult = {
	request: TraceRequest;
	end: RequestEnd;
	firstTokenMs?: number | undefined;
	endMs: number;
	attempts: number;
};

/** Records the events of one request; a policy calls it, `recordEnd` exactly once. */
export type RequestObserver = {
	recordAttempt: () => void;
	recordFirstToken: () => void;
	recordEnd: (end: RequestEnd) => void;
};

/** Load balancing policy under test: decides on which backend servers a request that arrived at an entry runs. */
export type Policy = {
	start: () => void;
	handle: (request: TraceRequest, entryIndex: number, observer: RequestObserver) => void;
	/** Notifies the policy that a failure domain goes out of service or returns; each entry learns of it after its own random delay. */
	setDomainInService: (failureDomain: string, isInService: boolean) => void;
};

/** Longest time in ms until an entry knows a change of the availability, which a real entry learns from its watch of the object or from a peer's heartbeat. */
export const availabilityLagMs = 1000;

/** Callbacks for submitted work. If `bootId` is given, any other boot of the server refuses the work. */
export type SubmitHandlers = {
	bootId?: string | undefined;
	answer: (answer: WorkAnswer) => void;
	event: (event: WorkEvent) => void;
};

/** Backend servers, entries and network delays of one run. */
export class SimulationWorld {
	readonly servers: SimulatedServer[] = [];
	readonly entries: EntryLocation[] = [];

	constructor(readonly deployment: SimulatedDeployment, readonly clock: VirtualClock) {
		for (const [failureDomain, counts] of Object.entries(deployment.failureDomains)) {
			for (let index = 1; index <= counts.servers; index++) {
				this.servers.push(new SimulatedServer(`${deployment.model}-${failureDomain}-${index}`, failureDomain, deployment.engine, clock));
			}

			for (let index = 1; index <= counts.entries; index++) {
				this.entries.push({id: `entry-${failureDomain}-${index}`, failureDomain});
			}
		}
	}

	/** One-way delay in ms between two instances. */
	getDelay(from: {failureDomain: string}, to: {failureDomain: string}): number {
		const {betweenDomainsMs, withinDomainMs} = this.deployment.delays;
		return from.failureDomain === to.failureDomain ? withinDomainMs : betweenDomainsMs;
	}

	/** Calls `handle` after the one-way delay between two instances; a message of an instance to itself has no delay. */
	send(from: {id: string; failureDomain: string}, to: {id: string; failureDomain: string}, handle: () => void): void {
		this.clock.scheduleIn(from.id === to.id ? 0 : this.getDelay(from, to), handle);
	}

	/** Sends work to a server; the answer and all events arrive at the entry after the network delay. */
	submit(entry: EntryLocation, server: SimulatedServer, work: EngineWork, handlers: SubmitHandlers): void {
		this.send(entry, server, () => {
			const answer = server.submit(work, event => {
				this.send(server, entry, () => {
					handlers.event(event);
				});
			}, handlers.bootId);
			this.send(server, entry, () => {
				handlers.answer(answer);
			});
		});
	}
}
