import {
	createMachine, interpret, state, transition, type Service,
} from 'robot3';
import type {GroupMember} from './plan-group.js';

/** Settings of a group reservation. */
export type GroupReservationOptions = {
	/** Time limit in ms of each reservation on its engine. */
	ttlMs?: number;
	/** Time in ms after which an unanswered call counts as failed. */
	replyTimeoutMs?: number;
	/** Time in ms between repeated release calls. */
	releaseRetryMs?: number;
};

/** What happens to a group reservation. */
export type GroupReservationEvent =
	| {type: 'start'}
	/** The engine holds the memory for the request. */
	| {type: 'reserved'; serverId: string}
	/** The engine refused, or the call failed with an unknown result. */
	| {type: 'refused'; serverId: string}
	/** The engine confirmed the release, or is gone with its memory. */
	| {type: 'released'; serverId: string}
	/** The request ended in any way. */
	| {type: 'finish'}
	| {type: 'tick'};

/** Call to an engine, by request id. */
export type GroupReservationCommand =
	| {type: 'reserve'; serverId: string; kvTokens: number; ttlMs: number}
	| {type: 'release'; serverId: string};

/** Lifecycle of a group reservation. */
export type GroupReservationState = 'idle' | 'reserving' | 'reserved' | 'releasing' | 'released';

/** Transition table of a group reservation; every path out of `reserving` and `reserved` passes `releasing`. */
export const groupReservationMachine = createMachine('idle', {
	idle: state(transition('start', 'reserving'), transition('end', 'released')),
	reserving: state(transition('complete', 'reserved'), transition('end', 'releasing')),
	reserved: state(transition('end', 'releasing')),
	releasing: state(transition('released', 'released')),
	released: state(),
});

type HeldReservation = {member: GroupMember; sentAt: number; releasedAt: number | undefined};

/**
 * All-or-nothing reservation of KV memory on the members of a group.
 * Members are reserved one after the other in ascending backend server id, so that two groups never wait for each
 * other in a circle, and a refusal releases everything at once instead of waiting for memory.
 */
export class GroupReservation {
	readonly #service: Service<typeof groupReservationMachine>;
	readonly #members: GroupMember[];
	readonly #ttlMs: number;
	readonly #replyTimeoutMs: number;
	readonly #releaseRetryMs: number;
	/** Members whose reservation was sent and whose release is not confirmed. */
	readonly #held = new Map<string, HeldReservation>();
	#nextIndex = 0;
	#renewedAt = 0;

	constructor(members: readonly GroupMember[], options: GroupReservationOptions = {}) {
		this.#members = members.toSorted((left, right) => left.serverId < right.serverId ? -1 : 1);
		this.#ttlMs = options.ttlMs ?? 30_000;
		this.#replyTimeoutMs = options.replyTimeoutMs ?? 2000;
		this.#releaseRetryMs = options.releaseRetryMs ?? 1000;
		this.#service = interpret(groupReservationMachine, () => undefined);
	}

	/** Present state. */
	get state(): GroupReservationState {
		return this.#service.machine.current as GroupReservationState;
	}

	/** Servers that may hold memory for the request. */
	listHeldServerIds(): string[] {
		return [...this.#held.keys()];
	}

	/** Applies an event and returns the calls to make. */
	handle(event: GroupReservationEvent, now: number): GroupReservationCommand[] {
		const handlers = {
			start: () => this.#handleStart(now),
			reserved: () => this.#handleReserved((event as {serverId: string}).serverId, now),
			refused: () => this.#handleRefused((event as {serverId: string}).serverId, now),
			released: () => this.#handleReleased((event as {serverId: string}).serverId),
			finish: () => this.#release(now),
			tick: () => this.#handleTick(now),
		};
		return handlers[event.type]();
	}

	#handleStart(now: number): GroupReservationCommand[] {
		if (this.state !== 'idle') {
			return [];
		}

		this.#service.send('start');
		return this.#reserveNext(now);
	}

	#handleReserved(serverId: string, now: number): GroupReservationCommand[] {
		if (this.state === 'releasing' || this.state === 'released') {
			// The answer to a reservation arrives after its release was sent: release once more.
			return this.#members.some(member => member.serverId === serverId) ? [{type: 'release', serverId}] : [];
		}

		if (this.state !== 'reserving' || this.#members[this.#nextIndex]?.serverId !== serverId) {
			return [];
		}

		this.#nextIndex++;
		return this.#reserveNext(now);
	}

	#handleRefused(serverId: string, now: number): GroupReservationCommand[] {
		// A refusal may stand for a call with an unknown result, so its server is released too.
		return this.#held.has(serverId) && this.state !== 'releasing' ? this.#release(now) : [];
	}

	#handleReleased(serverId: string): GroupReservationCommand[] {
		if (this.state === 'releasing') {
			this.#held.delete(serverId);
			this.#updateReleased();
		}

		return [];
	}

	#handleTick(now: number): GroupReservationCommand[] {
		if (this.state === 'reserving') {
			const held = this.#held.get(this.#members[this.#nextIndex]?.serverId ?? '');
			return held !== undefined && now - held.sentAt >= this.#replyTimeoutMs ? this.#release(now) : [];
		}

		if (this.state === 'reserved') {
			return this.#renew(now);
		}

		return this.state === 'releasing' ? this.#retryReleases(now) : [];
	}

	#reserveNext(now: number): GroupReservationCommand[] {
		const member = this.#members[this.#nextIndex];
		if (member === undefined) {
			this.#service.send('complete');
			this.#renewedAt = now;
			return [];
		}

		this.#held.set(member.serverId, {member, sentAt: now, releasedAt: undefined});
		return [this.#createReserveCommand(member)];
	}

	/** A second reservation for the same request replaces the first, which extends its time limit. */
	#renew(now: number): GroupReservationCommand[] {
		if (now - this.#renewedAt < this.#ttlMs / 3) {
			return [];
		}

		this.#renewedAt = now;
		return this.#members.map(member => {
			this.#held.get(member.serverId)!.sentAt = now;
			return this.#createReserveCommand(member);
		});
	}

	#createReserveCommand(member: GroupMember): GroupReservationCommand {
		return {
			type: 'reserve', serverId: member.serverId, kvTokens: member.kvTokens, ttlMs: this.#ttlMs,
		};
	}

	#release(now: number): GroupReservationCommand[] {
		if (this.state === 'releasing' || this.state === 'released') {
			return [];
		}

		this.#service.send('end');
		const commands: GroupReservationCommand[] = [];
		for (const [serverId, held] of this.#held) {
			held.releasedAt = now;
			commands.push({type: 'release', serverId});
		}

		this.#updateReleased();
		return commands;
	}

	#retryReleases(now: number): GroupReservationCommand[] {
		const commands: GroupReservationCommand[] = [];
		for (const [serverId, held] of this.#held) {
			// The engine itself dropped the reservation at the end of its time limit.
			if (now - held.sentAt >= this.#ttlMs + this.#replyTimeoutMs) {
				this.#held.delete(serverId);
			} else if (now - (held.releasedAt ?? now) >= this.#releaseRetryMs) {
				held.releasedAt = now;
				commands.push({type: 'release', serverId});
			}
		}

		this.#updateReleased();
		return commands;
	}

	#updateReleased(): void {
		if (this.state === 'releasing' && this.#held.size === 0) {
			this.#service.send('released');
		}
	}
}
