import {expect} from 'chai';
import fc from 'fast-check';
import {
	GroupReservation, groupReservationMachine, type GroupReservationCommand, type GroupReservationEvent,
} from './group-reservation.js';
import {selectGroup, type GroupMember} from './plan-group.js';

const createMembers = (ids: readonly string[], kvTokens = 100): GroupMember[] => ids.map((serverId, index) => ({
	serverId, index, startToken: index * kvTokens, tokens: kvTokens, kvTokens,
}));

describe('selectGroup', () => {
	const createServers = (count: number, failureDomain: string, kvTokensFree: number) => Array.from({length: count}, (_, index) => ({
		id: `${failureDomain}-${index}`, failureDomain, kvTokensFree, maxSegmentTokens: 1_000_000,
	}));

	// Guards against a group that spans failure domains or has more members than needed.
	it('chooses the fewest members of one failure domain', () => {
		const input = {promptTokens: 1_000_000, maxTokens: 1000, servers: [...createServers(4, 'kochi', 300_000), ...createServers(3, 'kollam', 450_000), ...createServers(2, 'alappuzha', 450_000)]};
		const plan = selectGroup(input);
		expect(plan.ok && plan.value.failureDomain).to.equal('kollam');
		expect(plan.ok && plan.value.members).to.have.length(3);
		expect(selectGroup({...input, promptTokens: 1_400_000})).to.deep.equal({ok: false, error: 'group_unavailable'});
	});

	// Guards against herding: entries see load changes with a delay, so equal engines must not attract all groups.
	it('spreads groups of different requests over the failure domains', () => {
		const servers = ['a', 'b', 'c'].flatMap(failureDomain => [1, 2, 3].map(index => ({
			id: `${failureDomain}${index}`, failureDomain, kvTokensFree: 40_960, maxSegmentTokens: 40_960,
		})));
		const plans = Array.from({length: 60}, (_, index) => selectGroup({
			promptTokens: 50_000, maxTokens: 100, servers, choiceKey: `r${index}`,
		}));
		const domains = plans.map(plan => plan.ok ? plan.value.failureDomain : '');
		expect(new Set(domains)).to.have.keys('a', 'b', 'c');
		const segments = plans.flatMap(plan => plan.ok ? plan.value.members.map(({tokens}) => tokens) : []);
		expect(Math.max(...segments)).to.be.at.most(0.75 * 40_960);
	});

	// Guards against lost or repeated parts of a prompt, and against a segment larger than the free memory of its member.
	it('covers the prompt without gaps within the memory of each member', () => {
		const server = fc.record({kvTokensFree: fc.integer({min: 0, max: 500_000}), maxSegmentTokens: fc.integer({min: 0, max: 500_000}), failureDomain: fc.constantFrom('a', 'b')});
		fc.assert(fc.property(fc.array(server, {maxLength: 12}), fc.integer({min: 1, max: 2_000_000}), fc.integer({min: 1, max: 8000}), (list, promptTokens, maxTokens) => {
			const named = list.map((fields, index) => ({id: `s${index}`, ...fields}));
			const plan = selectGroup({promptTokens, maxTokens, servers: named});
			if (!plan.ok) {
				return;
			}

			let startToken = 0;
			for (const [index, member] of plan.value.members.entries()) {
				const {kvTokensFree, failureDomain} = named.find(({id}) => id === member.serverId)!;
				expect(member).to.include({index, startToken});
				expect(member.tokens).to.be.greaterThan(0);
				expect(member.kvTokens).to.be.at.most(kvTokensFree);
				expect(failureDomain).to.equal(plan.value.failureDomain);
				startToken += member.tokens;
			}

			expect(startToken).to.equal(promptTokens);
			expect(plan.value.members.at(-1)!.kvTokens).to.equal(plan.value.members.at(-1)!.tokens + maxTokens);
		}), {seed: 20_261_204, numRuns: 500});
	});
});

describe('GroupReservation', () => {
	// Guards against a transition that ends a group without releasing its reservations.
	it('leaves reserving and reserved only for releasing', () => {
		const table = Object.entries(groupReservationMachine.states).map(([name, {transitions}]) =>
			[name, [...transitions].map(([event, [transition]]) => `${event}: ${(transition as unknown as {to: string}).to}`)]);
		expect(Object.fromEntries(table)).to.deep.equal({
			idle: ['start: reserving', 'end: released'],
			reserving: ['complete: reserved', 'end: releasing'],
			reserved: ['end: releasing'],
			releasing: ['released: released'],
			released: [],
		});
	});

	// Guards against deadlock between groups that reserve the same members in different orders.
	it('reserves one member at a time in ascending order of id', () => {
		const group = new GroupReservation(createMembers(['s3', 's1', 's2']));
		const order: string[] = [];
		let commands = group.handle({type: 'start'}, 0);
		while (commands.length > 0) {
			expect(commands).to.have.length(1);
			order.push(commands[0]!.serverId);
			commands = group.handle({type: 'reserved', serverId: commands[0]!.serverId}, 1);
		}

		expect(order).to.deep.equal(['s1', 's2', 's3']);
		expect(group.state).to.equal('reserved');
	});

	// Guards against a leaked reservation whose reply is lost or late.
	it('releases a member without a reply, and again when its reply arrives late', () => {
		const group = new GroupReservation(createMembers(['s1', 's2']), {replyTimeoutMs: 1000});
		group.handle({type: 'start'}, 0);
		group.handle({type: 'reserved', serverId: 's1'}, 10);
		const released = group.handle({type: 'tick'}, 1010);
		expect(released.map(({type, serverId}) => `${type} ${serverId}`)).to.deep.equal(['release s1', 'release s2']);
		expect(group.handle({type: 'reserved', serverId: 's2'}, 1020)).to.deep.equal([{type: 'release', serverId: 's2'}]);
	});

	describe('whose request runs', () => {
		const ttlMs = 9000;
		const renewedAt = ttlMs / 3;
		let group: GroupReservation;

		const listCalls = (event: GroupReservationEvent, now: number): string[] => group.handle(event, now).map(({type, serverId}) => `${type} ${serverId}`);

		beforeEach(() => {
			group = new GroupReservation(createMembers(['s1', 's2']), {ttlMs, renewalRetryMs: 500});
			group.handle({type: 'start'}, 0);
			group.handle({type: 'reserved', serverId: 's1'}, 0);
			group.handle({type: 'reserved', serverId: 's2'}, 0);
		});

		// Guards against an answer that is given up, with the memory of all members, because of one renewal that fails long before its time limit.
		it('keeps its memory when a renewal fails and renews that member again', () => {
			expect(listCalls({type: 'tick'}, renewedAt)).to.deep.equal(['reserve s1', 'reserve s2']);
			expect(listCalls({type: 'refused', serverId: 's1'}, renewedAt + 100)).to.deep.equal([]);
			expect(listCalls({type: 'reserved', serverId: 's2'}, renewedAt + 100)).to.deep.equal([]);
			expect(group.state).to.equal('reserved');
			expect(listCalls({type: 'tick'}, renewedAt + 400)).to.deep.equal([]);
			expect(listCalls({type: 'tick'}, renewedAt + 500)).to.deep.equal(['reserve s1']);
			expect(listCalls({type: 'tick'}, renewedAt + 1000)).to.deep.equal([]);
			expect(listCalls({type: 'refused', serverId: 's1'}, renewedAt + 1000)).to.deep.equal([]);
			expect(listCalls({type: 'tick'}, renewedAt + 1000)).to.deep.equal(['reserve s1']);
			expect(listCalls({type: 'reserved', serverId: 's1'}, renewedAt + 1100)).to.deep.equal([]);
			expect(listCalls({type: 'tick'}, (2 * renewedAt) - 1)).to.deep.equal([]);
			expect(listCalls({type: 'tick'}, 2 * renewedAt)).to.deep.equal(['reserve s1', 'reserve s2']);
		});

		it('releases all members at its end, also after a failed renewal', () => {
			group.handle({type: 'tick'}, renewedAt);
			group.handle({type: 'refused', serverId: 's1'}, renewedAt + 100);
			expect(listCalls({type: 'finish'}, renewedAt + 200)).to.deep.equal(['release s1', 'release s2']);
			expect(listCalls({type: 'refused', serverId: 's2'}, renewedAt + 300)).to.deep.equal([]);
		});
	});

	// Guards against deadlock between groups, and against leaked reservations after lost messages and restarts.
	it('ends all concurrent groups and leaves no memory reserved', () => {
		const serverIds = ['s1', 's2', 's3', 's4'];
		const capacity = 150;
		const groups = fc.array(fc.subarray(serverIds, {minLength: 2}), {minLength: 2, maxLength: 5});
		const faultSequence = fc.array(fc.record({pick: fc.nat(1000), fault: fc.constantFrom('none', 'none', 'none', 'loseCall', 'loseReply', 'restart', 'finish')}), {maxLength: 120});
		fc.assert(fc.property(groups, faultSequence, (memberships, faults) => {
			const reservations = memberships.map(ids => new GroupReservation(createMembers(ids), {ttlMs: 10_000, replyTimeoutMs: 500, releaseRetryMs: 300}));
			const engines = new Map(serverIds.map(id => [id, new Map<number, number>()]));
			const calls: Array<{group: number; command: GroupReservationCommand}> = [];
			let reservedOnce = 0;
			let now = 0;
			const send = (group: number, event: GroupReservationEvent) => {
				calls.push(...reservations[group]!.handle(event, now).map(command => ({group, command})));
				reservedOnce += event.type === 'reserved' && reservations[group]!.state === 'reserved' ? 1 : 0;
			};

			const serveCall = (index: number, fault: string) => {
				const [{group, command}] = calls.splice(index, 1) as [typeof calls[number]];
				const engine = engines.get(command.serverId)!;
				if (fault === 'loseCall') {
					return;
				}

				if (command.type === 'release') {
					engine.delete(group);
				} else if ((engine.has(group) ? engine.size : engine.size + 1) * command.kvTokens <= capacity) {
					engine.set(group, now + command.ttlMs);
				} else {
					send(group, {type: 'refused', serverId: command.serverId});
					return;
				}

				if (fault !== 'loseReply') {
					send(group, {type: command.type === 'release' ? 'released' : 'reserved', serverId: command.serverId});
				}
			};

			const runTicks = (elapsedMs: number) => {
				now += elapsedMs;
				for (const engine of engines.values()) {
					for (const [group, expiresAt] of engine) {
						if (expiresAt <= now) {
							engine.delete(group);
						}
					}
				}

				for (const group of reservations.keys()) {
					send(group, {type: 'tick'});
				}
			};

			for (const group of reservations.keys()) {
				send(group, {type: 'start'});
			}

			for (const {pick, fault} of faults) {
				if (fault === 'restart') {
					engines.get(serverIds[pick % 4]!)!.clear();
				} else if (fault === 'finish') {
					send(pick % reservations.length, {type: 'finish'});
				} else if (calls.length > 0) {
					serveCall(pick % calls.length, fault);
				}

				runTicks(50);
			}

			for (let round = 0; round < 500; round++) {
				// Without further faults, every group becomes reserved or released. Reserved groups finish.
				while (calls.length > 0) {
					serveCall(0, 'none');
				}

				runTicks(100);
				for (const [group, reservation] of reservations.entries()) {
					if (reservation.state === 'reserved') {
						send(group, {type: 'finish'});
					}
				}
			}

			expect(reservations.map(reservation => reservation.state)).to.deep.equal(reservations.map(() => 'released'));
			expect([...engines.values()].map(engine => engine.size)).to.deep.equal([0, 0, 0, 0]);
			expect(reservations.flatMap(reservation => reservation.listHeldServerIds())).to.be.empty;
			expect(faults.length > 0 || reservedOnce > 0, 'without faults, at least one group is reserved').to.be.true;
		}), {seed: 20_261_204, numRuns: 200});
	});
});
