import {
	refusalReasons, type EngineReport, type LoadSnapshot, type PermitReply, type PermitRequest,
} from '@knapweedrack/core';
import type {PermitRelease, PermitRenewal, PermitWithdrawal} from '@knapweedrack/protocol';
import type {Metrics, TimerService} from '../contracts.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {counterNames} from '../metrics/metric-names.js';
import type {OwnershipTask} from '../ownership/ownership-task.js';
import type {EngineClient} from './engine-client.js';
import {OwnedServer} from './owned-server.js';

const tickIntervalMs = 100;
const pollIntervalMs = 1000;
const notOwnedRetryAfterMs = 500;

/** Dependencies of the admission task. */
export type AdmissionTaskOptions = {
	ownership: OwnershipTask;
	membership: MembershipTask;
	engines: EngineClient;
	timer: TimerService;
	metrics: Metrics;
};

/** Grants, renews and releases the permits of the backend servers that this entry owns. */
export class AdmissionTask {
	readonly #options: AdmissionTaskOptions;
	readonly #servers = new Map<string, OwnedServer>();
	readonly #unsubscribes: Array<() => void> = [];

	constructor(options: AdmissionTaskOptions) {
		this.#options = options;
	}

	start(): void {
		const {ownership, membership, timer} = this.#options;
		this.#unsubscribes.push(
			ownership.messages.subscribe(({serverId}) => {
				this.#updateServer(serverId);
			}),
			membership.messages.subscribe(message => {
				if (message.type === 'instances') {
					this.#updateDescriptions();
				}
			}),
			timer.subscribe(tickIntervalMs, () => {
				for (const server of this.#servers.values()) {
					server.handleTick();
				}
			}),
			timer.subscribe(pollIntervalMs, () => {
				// A confirmed release does not change the mode, so no message announces the end of the ownership.
				for (const serverId of this.#servers.keys()) {
					this.#updateServer(serverId);
				}

				for (const server of this.#servers.values()) {
					void server.poll();
				}
			}),
		);
	}

	/** Resolves when the request is granted or refused. */
	async request(request: PermitRequest): Promise<PermitReply> {
		const server = this.#servers.get(request.serverId);
		return server ? server.request(request) : {type: 'refused', reason: refusalReasons.ownershipDisputed, retryAfterMs: notOwnedRetryAfterMs};
	}

	withdraw(withdrawals: readonly PermitWithdrawal[]): void {
		for (const {serverId, requestId, attemptId} of withdrawals) {
			this.#servers.get(serverId)?.withdraw(requestId, attemptId);
		}
	}

	recordFirstToken(serverId: string, permitId: string): void {
		this.#servers.get(serverId)?.recordFirstToken(permitId);
	}

	release(releases: readonly PermitRelease[]): void {
		for (const {serverId, permitId, result, firstTokenMs} of releases) {
			const server = this.#servers.get(serverId);
			if (firstTokenMs !== undefined) {
				server?.recordFirstToken(permitId);
			}

			server?.release({type: 'release', permitId, result});
		}
	}

	/** Renews permits; returns the ids that this entry does not know. */
	renew(renewal: PermitRenewal): string[] {
		const unknown = renewal.servers.flatMap(({serverId, permitIds, firstTokens}) => {
			const server = this.#servers.get(serverId);
			const missing = server ? server.renew(permitIds) : permitIds;
			for (const permitId of firstTokens) {
				server?.recordFirstToken(permitId);
			}

			return missing;
		});
		this.#options.metrics.count(counterNames.permitUnknown, unknown.length);
		return unknown;
	}

	getLoad(serverId: string): LoadSnapshot | undefined {
		return this.#servers.get(serverId)?.load;
	}

	/** Last status reports of the owned engines by server id; more recent than the instance list. */
	listReports(): Map<string, EngineReport> {
		return new Map([...this.#servers].flatMap(([serverId, {report}]) => report ? [[serverId, report]] : []));
	}

	/** Owned backend servers with mode and load, as answered to `operations.status`. */
	describe(): Array<{serverId: string; mode: string; load: LoadSnapshot | undefined}> {
		return [...this.#servers].map(([serverId, {load}]) => ({serverId, mode: this.#options.ownership.getMode(serverId), load}));
	}

	stop(): void {
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		for (const server of this.#servers.values()) {
			server.close();
		}
	}

	#updateServer(serverId: string): void {
		const {ownership, membership} = this.#options;
		const isOwned = ownership.getFencingNumber(serverId) !== undefined;
		const description = membership.servers.find(({id}) => id === serverId);
		const known = this.#servers.get(serverId);
		if (!isOwned) {
			this.#servers.delete(serverId);
			known?.close();
		} else if (known) {
			known.handleTick();
		} else if (description) {
			this.#addServer(new OwnedServer({
				...this.#options,
				description,
				getMode: () => ownership.getMode(serverId),
				getFencingNumber: () => ownership.getFencingNumber(serverId) ?? 0,
				notifyReport: () => {
					this.#endRebuildOfFirstOwner(serverId);
				},
			}));
		}
	}

	#addServer(server: OwnedServer): void {
		this.#servers.set(server.description.id, server);
		void server.poll();
	}

	/** Ends the rebuild at once when this entry is the first owner (fencing number 1), because no former owner granted permits. */
	#endRebuildOfFirstOwner(serverId: string): void {
		const {ownership} = this.#options;
		if (ownership.getFencingNumber(serverId) === 1 && ownership.getMode(serverId) === 'rebuilding') {
			ownership.handle({type: 'rebuilt', serverId});
		}
	}

	#updateDescriptions(): void {
		for (const description of this.#options.membership.servers) {
			const server = this.#servers.get(description.id);
			if (server) {
				server.description = description;
			}
		}
	}
}
