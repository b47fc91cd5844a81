import {
	createMachine, interpret, state, transition, type Service,
} from 'robot3';
import type {GroupMember} from './plan-group.js';

/** Timing of the reservations of one group. */
export type GroupReservationOptions = {
	/** Time in ms after which an engine drops a reservation that was not renewed. */
	ttlMs?: number;
	/** Time in ms after which a reserve call without a reply counts as failed. */
	replyTimeoutMs?: number;
	/** Time in ms after which a release call that is not confirmed is sent again. */
	releaseRetryMs?: number;
	/** Time in ms from a renewal to its repetition when it failed. */
	renewalRetryMs?: number;
};

/** Input of a group reservation: replies of the engines, the start and end of the request, and the timer. */
export type GroupReservationEvent =
	| {type: 'start'}
	/** The engine reserved the memory for the request. */
	| {type: 'reserved'; serverId: string}
	/** The engine refused, or the reserve call failed with an unknown result; ends the group only before all members are reserved. */
	| {type: 'refused'; serverId: string}
	/** The engine confirmed the release, or it ended and its memory with it. */
	| {type: 'released'; serverId: string}
	/** The request ended, with or without success. */
	| {type: 'finish'}
	| {type: 'tick'};

/** Call to make on an engine. The engine identifies a reservation by the request id. */
export type GroupReservationCommand =
	| {type: 'reserve'; serverId: string; kvTokens: number; ttlMs: number}
	| {type: 'release'; serverId: string};

/** State of a group reservation; `released` is final. */
export type GroupReservationState = 'idle' | 'reserving' | 'reserved' | 'releasing' | 'released';

/** State machine of a group reservation. Every path out of `reserving` and `reserved` leads through `releasing`, so no reservation leaks. */
export const groupReservationMachine = createMachine('idle', {
	idle: state(transition('start', 'reserving'), transition('end', 'released')),
	reserving: state(transition('complete', 'reserved'), transition('end', 'releasing')),
	reserved: state(transition('end', 'releasing')),
	releasing: state(transition('released', 'released')),
	released: state(),
});

type HeldReservation = {member: GroupMember; sentAt: number; releasedAt: number | undefined};

/**
 * All-or-nothing reservation of KV cache memory on the members of a group.
 * Members are reserved one at a time in ascending order of backend server id. A refusal releases all reservations
 * at once instead of waiting for memory. Both rules prevent deadlock between groups. Once all members are reserved, a
 * renewal that fails is repeated instead: the request still runs, and its memory is held until the time limit.
 */
export class GroupReservation {
	readonly #service: Service<typeof groupReservationMachine>;
	readonly #members: GroupMember[];
	readonly #ttlMs: number;
	readonly #replyTimeoutMs: number;
	readonly #releaseRetryMs: number;
	readonly #renewalRetryMs: number;
	/** By server id: members whose reserve call was sent and whose release is not confirmed. */
	readonly #held = new Map<string, HeldReservation>();
	/** Ids of members whose last renewal failed. */
	readonly #failedRenewals = new Set<string>();
	#nextIndex = 0;
	#renewedAt = 0;

	constructor(members: readonly GroupMember[], options: GroupReservationOptions = {}) {
		this.#members = members.toSorted((left, right) => left.serverId < right.serverId ? -1 : 1);
		this.#ttlMs = options.ttlMs ?? 30_000;
		this.#replyTimeoutMs = options.replyTimeoutMs ?? 2000;
		this.#releaseRetryMs = options.releaseRetryMs ?? 1000;
		this.#renewalRetryMs = options.renewalRetryMs ?? 1000;
		this.#service = interpret(groupReservationMachine, () => undefined);
	}

	/** Current state of the state machine. */
	get state(): GroupReservationState {
		return this.#service.machine.current as GroupReservationState;
	}

	/** Lists the servers that may still hold memory for the request. */
	listHeldServerIds(): string[] {
		return [...this.#held.keys()];
	}

	/** Applies an event and returns the engine calls to make. */
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
			// The reservation may have been made after its release was processed, so it is released again.
			return this.#members.some(member => member.serverId === serverId) ? [{type: 'release', serverId}] : [];
		}

		if (this.state !== 'reserving' || this.#members[this.#nextIndex]?.serverId !== serverId) {
			return [];
		}

		this.#nextIndex++;
		return this.#reserveNext(now);
	}

	#handleRefused(serverId: string, now: number): GroupReservationCommand[] {
		if (this.state === 'reserved') {
			this.#failedRenewals.add(serverId);
			return [];
		}

		// The event also covers calls with an unknown result, so the refusing server is released too.
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

	/** Reserves again for the same request, which replaces the reservation on each engine and extends its time limit. */
	#renew(now: number): GroupReservationCommand[] {
		const isDue = now - this.#renewedAt >= this.#ttlMs / 3;
		if (isDue) {
			this.#renewedAt = now;
		}

		return this.#members.filter(member => isDue || this.#isRenewalRetryDue(member, now)).map(member => {
			this.#failedRenewals.delete(member.serverId);
			this.#held.get(member.serverId)!.sentAt = now;
			return this.#createReserveCommand(member);
		});
	}

	#isRenewalRetryDue({serverId}: GroupMember, now: number): boolean {
		return this.#failedRenewals.has(serverId) && now - this.#held.get(serverId)!.sentAt >= this.#renewalRetryMs;
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
			// After this time the engine has dropped the reservation, even if the last reserve call took the reply timeout to arrive.
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
