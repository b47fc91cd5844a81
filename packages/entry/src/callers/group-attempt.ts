import {Buffer} from 'node:buffer';
import {
	attemptResults, GroupReservation, refusalReasons,
	type AttemptRecord, type BackendServerDescription, type GroupMember, type GroupReservationCommand, type RefusalReason,
} from '@knapweedrack/core';
import type {CallerContext} from './caller-context.js';
import type {Target} from './candidates.js';
import {estimateTokens} from './completion-request.js';
import {cancelOnEngine} from './engine-attempt.js';
import {buildPermitRequest, HeldPermit, requestPermit} from './permit-acquisition.js';
import type {RequestTask} from './request-task.js';
import type {AttemptEnd, GroupPrompt, RequestWork} from './request-work.js';

/** Input of an attempt on a group of engines. */
export type GroupAttemptInput = {
	target: Extract<Target, {type: 'group'}>;
	attempt: AttemptRecord;
	isSuspect: boolean;
	/** Called once all members are reserved. */
	recordGranted: () => void;
};

const renewalCheckIntervalMs = 500;

/** Splits a prompt at the members' start tokens without splitting a UTF-8 character. */
export const splitPrompt = (prompt: string, members: readonly GroupMember[]): string[] => {
	const bytes = Buffer.from(prompt);
	const starts = members.map(member => {
		let start = Math.min(bytes.length, member.startToken * 4);
		// Bytes of the form 10xxxxxx continue a UTF-8 character.
		while (start > 0 && start < bytes.length && bytes[start]! >= 0x80 && bytes[start]! < 0xC0) {
			start--;
		}

		return start;
	});
	return starts.map((start, index) => bytes.subarray(start, starts[index + 1] ?? bytes.length).toString('utf8'));
};

type ReservationFailure = {reason: RefusalReason; retryAfterMs?: number | undefined};

/** Runs one attempt on a group: permits and memory on all members, segments in order, generation on the last member. */
class GroupAttempt {
	readonly #reservation: GroupReservation;
	readonly #permits = new Map<string, HeldPermit>();
	readonly #segments: GroupPrompt['segments'] = [];
	readonly #pendingReleases: Array<Promise<void>> = [];
	#failure: ReservationFailure | undefined;
	#stopRenewals: (() => void) | undefined;

	constructor(
		private readonly context: CallerContext,
		private readonly task: RequestTask,
		private readonly work: RequestWork,
		private readonly input: GroupAttemptInput,
	) {
		// One extra token, because a segment that starts at a character boundary can be one token longer than planned.
		this.#reservation = new GroupReservation(input.target.plan.members.map(member => ({...member, kvTokens: member.kvTokens + 1})));
	}

	async run(): Promise<AttemptEnd> {
		let end: AttemptEnd = {result: attemptResults.failed, reason: refusalReasons.internal};
		try {
			end = await this.#reserve() ? await this.#runReserved() : this.#describeFailure();
		} finally {
			await this.#release(end);
		}

		return end;
	}

	get #now(): number {
		return this.context.services.timer.now();
	}

	#getServer(serverId: string): BackendServerDescription {
		return this.input.target.servers.get(serverId)!;
	}

	#describeFailure(): AttemptEnd {
		return this.task.isFinal
			? {result: attemptResults.cancelled}
			: {result: attemptResults.notStarted, reason: this.#failure?.reason ?? refusalReasons.groupUnavailable, retryAfterMs: this.#failure?.retryAfterMs};
	}

	/** Acquires all permits and then reserves all memory, both in ascending order of server ids, so that two groups cannot deadlock. */
	async #reserve(): Promise<boolean> {
		for (const {serverId} of this.input.target.plan.members.toSorted((left, right) => left.serverId < right.serverId ? -1 : 1)) {
			if (!await this.#acquirePermit(serverId)) {
				return false;
			}
		}

		await this.#runCommands(this.#reservation.handle({type: 'start'}, this.#now));
		const {permits} = this.context.services;
		const isPermitted = [...this.#permits.values()].every(({permit}) => permits.isValid(permit));
		return isPermitted && this.#reservation.state === 'reserved' && !this.task.isFinal;
	}

	async #runCommands(commands: GroupReservationCommand[]): Promise<void> {
		const pending = [...commands];
		for (let command = pending.shift(); command !== undefined; command = pending.shift()) {
			pending.push(...await this.#runCommand(command));
		}
	}

	async #runCommand(command: GroupReservationCommand): Promise<GroupReservationCommand[]> {
		if (command.type === 'release') {
			this.#startRelease(command.serverId);
			return [];
		}

		const isReserved = !this.task.isFinal && await this.#sendReserve(command);
		return this.#reservation.handle({type: isReserved ? 'reserved' : 'refused', serverId: command.serverId}, this.#now);
	}

	async #sendReserve({serverId, kvTokens, ttlMs}: Extract<GroupReservationCommand, {type: 'reserve'}>): Promise<boolean> {
		const {engines, services} = this.context;
		try {
			const reply = await engines.reserve(this.#getServer(serverId).address, {
				requestId: this.task.requestId, kvTokens, ttlMs, fencingNumber: services.permits.getFencingNumber(this.#permits.get(serverId)!.permit),
			});
			if (reply.type === 'ok') {
				return true;
			}

			this.#failure = {reason: refusalReasons.groupUnavailable, retryAfterMs: reply.error?.retryAfterMs};
		} catch {
			this.#failure = {reason: refusalReasons.groupUnavailable};
		}

		return false;
	}

	async #acquirePermit(serverId: string): Promise<boolean> {
		const {context, task, work, input} = this;
		const {members} = input.target.plan;
		const member = members.find(each => each.serverId === serverId)!;
		const reply = await requestPermit(context.services, buildPermitRequest(context.services.entryId, task, {
			attemptId: input.attempt.attemptId,
			serverId,
			prefillTokens: member.tokens,
			isDeferred: member.index > 0,
			decodeTokens: member === members.at(-1) ? work.cost.decodeTokens : 0,
			kvTokens: member.kvTokens + 1,
			isSuspect: input.isSuspect,
		}), task.signal);
		if (reply === 'aborted') {
			return false;
		}

		if (reply.type === 'refused') {
			this.#failure = {reason: reply.reason, retryAfterMs: reply.retryAfterMs};
			return false;
		}

		this.#permits.set(serverId, new HeldPermit(context.services, reply.permit));
		return true;
	}

	async #runReserved(): Promise<AttemptEnd> {
		const {context, task, work, input} = this;
		const {members} = input.target.plan;
		const last = members.at(-1)!;
		input.recordGranted();
		this.#stopRenewals = context.services.timer.subscribe(renewalCheckIntervalMs, () => {
			this.#renew();
		});
		const parts = splitPrompt(work.prompt ?? '', members);
		for (const member of members.slice(0, -1)) {
			const end = await this.#runPrefill(member, parts[member.index]!);
			if (end !== undefined) {
				return end;
			}
		}

		return work.runOnGroup!({
			server: this.#getServer(last.serverId), permit: this.#permits.get(last.serverId)!.permit, attempt: input.attempt,
		}, {prompt: parts.at(-1)!, segments: this.#segments});
	}

	async #runPrefill(member: GroupMember, prompt: string): Promise<AttemptEnd | undefined> {
		const {context, task, input} = this;
		const server = this.#getServer(member.serverId);
		const sentAt = this.#now;
		input.attempt.sentBytes = true;
		try {
			const reply = await context.engines.sendSegment(server.address, {
				requestId: task.requestId,
				// The attempt id of the permit, by which the owner of the server recognizes the segment as permitted work.
				attemptId: input.attempt.attemptId,
				index: member.index,
				prompt,
				priority: this.#permits.get(member.serverId)!.permit.enginePriority,
				segments: [...this.#segments],
			}, task.signal);
			if (reply.type === 'refused') {
				return {result: attemptResults.failed, reason: refusalReasons.backendRefused, retryAfterMs: reply.error?.retryAfterMs};
			}
		} catch {
			return task.signal.aborted
				? {result: attemptResults.cancelled}
				: {result: attemptResults.failed, reason: refusalReasons.backendFailed};
		}

		context.recordPrefill(member.tokens, this.#now - sentAt);
		context.services.permits.recordFirstToken(this.#permits.get(member.serverId)!.permit);
		this.#segments.push({
			serverId: member.serverId, address: server.address, index: member.index, tokens: estimateTokens(prompt),
		});
		return undefined;
	}

	/** Renews the reservations on the engines when they are due, so that none expires while the request runs. */
	#renew(): void {
		const commands = this.#reservation.handle({type: 'tick'}, this.#now);
		this.context.runInBackground(async () => {
			await this.#runCommands(commands);
		});
	}

	#startRelease(serverId: string): void {
		this.#pendingReleases.push(this.#runRelease(serverId));
	}

	async #runRelease(serverId: string): Promise<void> {
		const {context, task} = this;
		const {address} = this.#getServer(serverId);
		try {
			await context.engines.release(address, task.requestId);
		} catch {
			await cancelOnEngine(context, address, task.requestId);
		}

		this.#reservation.handle({type: 'released', serverId}, this.#now);
	}

	/** Releases the memory before the permits, so that the owner does not grant capacity that the engine still holds. */
	async #release(end: AttemptEnd): Promise<void> {
		this.#stopRenewals?.();
		await this.#runCommands(this.#reservation.handle({type: 'finish'}, this.#now));
		this.context.runInBackground(async () => {
			await Promise.all(this.#pendingReleases);
			for (const held of this.#permits.values()) {
				const isGenerator = held.permit.serverId === this.input.attempt.serverId;
				held.release({result: end.result, firstTokenMs: isGenerator ? end.firstTokenMs : undefined});
			}
		});
	}
}

/** Runs one attempt on a group of engines; memory and permits are released however the attempt ends. */
export const runGroupAttempt = async (context: CallerContext, task: RequestTask, work: RequestWork, input: GroupAttemptInput): Promise<AttemptEnd> =>
	new GroupAttempt(context, task, work, input).run();
