import type {RefusalReason} from '@knapweedrack/core';
import type {EngineWork} from '../engine/engine-model.js';
import type {TraceRequest} from './load-trace.js';
import type {SimulatedDeployment} from './simulated-deployment.js';
import {SimulatedServer, type WorkAnswer, type WorkEvent} from './simulated-server.js';
import type {VirtualClock} from './virtual-clock.js';

/** Identity and place of an entry. */
export type EntryLocation = {id: string; failureDomain: string};

/** How a request ended. */
export type RequestEnd =
	| {type: 'completed'}
	/** `not_run`: no backend server started it. */
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number}
	| {type: 'failed'; reason: RefusalReason};

/** What the caller saw of one request; times in ms after its sending. */
export type RequestResult = {
	request: TraceRequest;
	end: RequestEnd;
	firstTokenMs?: number | undefined;
	endMs: number;
	attempts: number;
};

/** Follows one request for its policy. */
export type RequestObserver = {
	recordAttempt: () => void;
	recordFirstToken: () => void;
	recordEnd: (end: RequestEnd) => void;
};

/** Balancing policy under test; it decides where a request that reached an entry runs. */
export type Policy = {
	start: () => void;
	handle: (request: TraceRequest, entry: number, observer: RequestObserver) => void;
	/** Notifies the policy that a failure domain leaves or returns; each entry learns of it with its own delay. */
	setDomainInService: (failureDomain: string, isInService: boolean) => void;
};

/** Longest time in ms until an entry knows a change of the availability; it watches the object and hears of it by heartbeat. */
export const availabilityLagMs = 1000;

/** Receives what becomes of work; the work is refused by another boot than the given one. */
export type SubmitHandlers = {
	bootId?: string | undefined;
	answer: (answer: WorkAnswer) => void;
	event: (event: WorkEvent) => void;
};

/** Servers, entries and network of one run. */
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

	/** Runs a function after a message went from one instance to another; a message to oneself takes no time. */
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
