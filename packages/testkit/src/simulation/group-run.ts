import {
	GroupReservation, type GroupMember, type GroupReservationCommand, type Permit,
} from '@knapweedrack/core';
import type {EngineWork} from '../engine/engine-model.js';
import type {TraceRequest} from './load-trace.js';
import type {EntryLocation, SimulationWorld} from './simulation-world.js';
import type {SimulatedServer, WorkEvent} from './simulated-server.js';

/** Request, members and callbacks of a run on a group. */
export type GroupRunOptions = {
	request: TraceRequest;
	attemptId: string;
	members: readonly GroupMember[];
	deadlineAt: number;
	/** Returns the permit of a member; undefined for a policy without admission. */
	getPermit: (serverId: string) => Permit | undefined;
	/** Called when a member other than the last has finished the prefill of its segment. */
	recordSegment: (serverId: string) => void;
	recordFirstToken: () => void;
	/** Called once; `unreserved` means that memory could not be reserved on all members and no work was sent. */
	recordEnd: (end: 'finished' | 'unreserved' | 'failed' | 'expired') => void;
};

const reservationRenewalIntervalMs = 5000;

/** Runs a prompt on a group: reserves memory on all members, runs the prefill of the segments in order, and decodes on the last member. */
export class GroupRun {
	readonly #reservation: GroupReservation;
	readonly #members: GroupMember[];
	#isEnded = false;

	constructor(private readonly world: SimulationWorld, private readonly entry: EntryLocation, private readonly options: GroupRunOptions) {
		this.#members = options.members.toSorted((left, right) => left.index - right.index);
		this.#reservation = new GroupReservation(options.members);
	}

	start(): void {
		this.#runCommands(this.#reservation.handle({type: 'start'}, this.world.clock.now));
		this.#scheduleRenewal();
	}

	#scheduleRenewal(): void {
		this.world.clock.scheduleIn(reservationRenewalIntervalMs, () => {
			if (!this.#isEnded) {
				this.#runCommands(this.#reservation.handle({type: 'tick'}, this.world.clock.now));
				this.#scheduleRenewal();
			}
		});
	}

	#getServer(serverId: string): SimulatedServer {
		return this.world.servers.find(({id}) => id === serverId)!;
	}

	#runCommands(commands: readonly GroupReservationCommand[]): void {
		for (const command of commands) {
			const server = this.#getServer(command.serverId);
			this.world.send(this.entry, server, () => {
				if (command.type === 'release') {
					server.release(this.options.request.id);
				} else {
					this.#reserve(server, command);
				}
			});
		}
	}

	#reserve(server: SimulatedServer, {serverId, kvTokens, ttlMs}: Extract<GroupReservationCommand, {type: 'reserve'}>): void {
		const isReserved = server.reserve(this.options.request.id, kvTokens, ttlMs);
		this.world.send(server, this.entry, () => {
			const before = this.#reservation.state;
			this.#runCommands(this.#reservation.handle({type: isReserved ? 'reserved' : 'refused', serverId}, this.world.clock.now));
			if (this.#isEnded) {
				return;
			}

			if (before === 'reserving' && this.#reservation.state === 'reserved') {
				this.#submitMember(0);
			} else if (this.#reservation.state === 'releasing' || this.#reservation.state === 'released') {
				this.#endRun('unreserved');
			}
		});
	}

	#submitMember(index: number): void {
		const member = this.#members[index]!;
		const isLast = index === this.#members.length - 1;
		const {request, attemptId, deadlineAt, getPermit} = this.options;
		const permit = getPermit(member.serverId);
		const work: EngineWork = {
			requestId: request.id,
			attemptId,
			kind: isLast ? 'generate' : 'segment',
			promptTokens: member.tokens,
			maxTokens: isLast ? request.maxTokens : 0,
			answerTokens: isLast ? request.answerTokens : 0,
			priority: permit?.enginePriority ?? 0,
			deadlineAt,
			blocks: [],
			importTokens: member.startToken,
			segment: isLast ? undefined : {index, tokens: member.tokens, digest: ''},
		};
		this.world.submit(this.entry, this.#getServer(member.serverId), work, {
			bootId: isLast ? permit?.bootId : undefined,
			answer: answer => {
				if (answer !== 'accepted') {
					this.#endRun('failed');
				}
			},
			event: event => {
				this.#handleEvent(index, event);
			},
		});
	}

	#handleEvent(index: number, event: WorkEvent): void {
		const isLast = index === this.#members.length - 1;
		if (event === 'firstToken') {
			this.options.recordFirstToken();
		} else if (event !== 'finished') {
			this.#endRun(event === 'expired' ? 'expired' : 'failed');
		} else if (isLast) {
			this.#endRun('finished');
		} else if (!this.#isEnded) {
			this.options.recordSegment(this.#members[index]!.serverId);
			this.#submitMember(index + 1);
		}
	}

	#endRun(end: Parameters<GroupRunOptions['recordEnd']>[0]): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#runCommands(this.#reservation.handle({type: 'finish'}, this.world.clock.now));
			this.options.recordEnd(end);
		}
	}
}
