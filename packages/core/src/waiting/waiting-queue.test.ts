import {expect} from 'chai';
import fc from 'fast-check';
import {
	trialResults, WaitingQueue, type WaitingItem, type WaitingRequest,
} from './waiting-queue.js';

const buildRequest = (changes: Partial<WaitingRequest> = {}): WaitingRequest => ({
	urgency: 1, workspaceId: 'w', cost: 100, deadlineAt: 10_000, lateAt: 10_000, hasBegun: false, ...changes,
});
const seeded = {seed: 7, numRuns: 200};
const urgencies = fc.integer({min: 0, max: 3});
const workspaces = fc.constantFrom('a', 'b', 'c');

/** Takes requests from a queue while `room` lasts; returns them in order. */
const take = (queue: WaitingQueue<string>, room: number, now = 0): Array<WaitingItem<string>> => {
	const taken: Array<WaitingItem<string>> = [];
	for (let before = -1; before < taken.length;) {
		before = taken.length;
		queue.run(now, item => {
			if (taken.length >= room) {
				return trialResults.noRoom;
			}

			taken.push(item);
			return trialResults.placed;
		});
	}

	return taken;
};

const fill = (requests: Array<Partial<WaitingRequest>>, now = 0): WaitingQueue<string> => {
	const queue = new WaitingQueue<string>();
	for (const [index, request] of requests.entries()) {
		queue.add(buildRequest(request), String(index), now);
	}

	return queue;
};

describe('WaitingQueue', () => {
	describe('order', () => {
		// Guards against new requests that take the room which the rest of an answer needs.
		it('serves the rest of an answer before more urgent new requests', () => {
			const queue = fill([{urgency: 0}, {urgency: 3, hasBegun: true}, {urgency: 1}]);
			expect(take(queue, 3).map(({value}) => value)).to.deep.equal(['1', '0', '2']);
		});

		// Guards against a request that misses its deadline behind a later one of the same workspace.
		it('serves the earliest deadline of a workspace first', () => {
			const queue = fill([{deadlineAt: 900}, {deadlineAt: 300}, {deadlineAt: 600}]);
			expect(take(queue, 3).map(({value}) => value)).to.deep.equal(['1', '2', '0']);
		});

		// Guards against less urgent requests that are placed although a more urgent one of their size waits.
		it('never inverts the order by urgency', () => {
			fc.assert(fc.property(fc.array(fc.tuple(urgencies, workspaces), {minLength: 1, maxLength: 40}), fc.nat({max: 40}), (requests, room) => {
				const queue = fill(requests.map(([urgency, workspaceId]) => ({urgency, workspaceId})));
				const taken = take(queue, room).map(({request}) => request.urgency);
				const left = [...queue.list()].map(({request}) => request.urgency);
				expect(taken).to.deep.equal(taken.toSorted((a, b) => a - b));
				expect(Math.max(-1, ...taken)).to.be.at.most(Math.min(9, ...left));
			}), seeded);
		});

		// Guards against a workspace that gets more than its share by sending more, or larger requests.
		it('serves backlogged workspaces within one request of their fair share', () => {
			fc.assert(fc.property(fc.array(fc.tuple(workspaces, fc.integer({min: 64, max: 127})), {minLength: 60, maxLength: 200}), fc.integer({min: 1, max: 30}), (requests, room) => {
				const queue = fill(requests.map(([workspaceId, cost]) => ({workspaceId, cost})));
				const costs = new Map<string, number>();
				for (const {request} of take(queue, room)) {
					costs.set(request.workspaceId, (costs.get(request.workspaceId) ?? 0) + request.cost);
				}

				const backlogged = new Set([...queue.list()].map(({request}) => request.workspaceId));
				const shares = [...backlogged].map(workspaceId => costs.get(workspaceId) ?? 0);
				expect(Math.max(0, ...shares) - Math.min(Number.POSITIVE_INFINITY, ...shares)).to.be.at.most(127);
			}), seeded);
		});
	});

	describe('trials', () => {
		// Guards against room that stays idle while a request that fits waits behind one that does not.
		it('conserves work across sizes', () => {
			const queue = fill([{urgency: 0, cost: 200_000}, {urgency: 1, cost: 5000}, {urgency: 2, cost: 5000}]);
			const placed: string[] = [];
			queue.run(0, ({value, cost}) => {
				if (cost > 10_000) {
					return trialResults.noRoom;
				}

				placed.push(value);
				return trialResults.placed;
			});
			expect(placed).to.deep.equal(['1', '2']);
		});

		it('leaves no room idle while requests of one size wait', () => {
			fc.assert(fc.property(fc.array(fc.tuple(urgencies, workspaces), {maxLength: 40}), fc.nat({max: 50}), (requests, room) => {
				const queue = fill(requests.map(([urgency, workspaceId]) => ({urgency, workspaceId})));
				expect(take(queue, room)).to.have.lengthOf(Math.min(room, requests.length));
			}), seeded);
		});

		// Guards against processor time that grows with the number of waiting requests.
		it('tries a bounded number of requests in a run', () => {
			fc.assert(fc.property(fc.array(fc.tuple(urgencies, fc.integer({min: 1, max: 300_000})), {maxLength: 200}), requests => {
				const queue = fill(requests.map(([urgency, cost]) => ({urgency, cost})));
				let trials = 0;
				queue.run(0, () => {
					trials++;
					return trialResults.noRoom;
				});
				expect(trials).to.be.at.most(6);
			}), seeded);
		});

		// Guards against late prompts, which need more room, that block prompts of their size that can still be on time.
		it('tries prompts that can be on time behind late ones', () => {
			const queue = fill([{lateAt: 0}, {lateAt: 0}, {lateAt: 0}, {lateAt: 500}]);
			const tried: string[] = [];
			queue.run(100, ({value}) => {
				tried.push(value);
				return trialResults.noRoom;
			});
			expect(tried).to.include('3');
		});

		// Guards against a retry whose servers are excluded that keeps others from servers that are free.
		it('goes on behind a request that is blocked for a reason of its own', () => {
			const queue = fill([{urgency: 0}, {urgency: 1}]);
			const placed: string[] = [];
			queue.run(0, ({value}) => {
				if (value === '0') {
					return trialResults.blocked;
				}

				placed.push(value);
				return trialResults.placed;
			});
			expect(placed).to.deep.equal(['1']);
		});
	});

	describe('admission estimate', () => {
		/** A queue that has placed 100 cost each 100 ms for a second, with 10 requests of urgency 1 left. */
		const buildBusy = (): WaitingQueue<string> => {
			const queue = fill(Array.from({length: 20}, () => ({deadlineAt: 60_000})));
			for (let now = 100; now <= 1000; now += 100) {
				take(queue, 1, now);
			}

			return queue;
		};

		// Guards against requests that wait for their deadline although it cannot be met.
		it('refuses a request on arrival when the cost ahead takes longer than its time', () => {
			const {costAhead, ratePerMs, leftMs} = buildBusy().estimate(buildRequest({deadlineAt: 1500}), 1000);
			expect(costAhead).to.equal(1000);
			expect(ratePerMs).to.equal(1);
			expect(leftMs).to.equal(500);
		});

		// Guards against less urgent requests that hold their place until their deadline, so that the refusal is of no use to the caller.
		it('displaces less urgent requests that a more urgent arrival keeps from their deadline', () => {
			const queue = buildBusy();
			const item = queue.add(buildRequest({urgency: 2, deadlineAt: 2500}), 'late', 1000);
			expect(queue.listUnreachable(1000)).to.deep.equal([]);
			for (let count = 0; count < 6; count++) {
				queue.add(buildRequest({urgency: 0, deadlineAt: 60_000}), 'urgent', 1000);
			}

			expect(queue.listUnreachable(1000)).to.deep.equal([item]);
		});

		// Guards against a refusal because one long prompt waits for several servers, while the room for others is free.
		it('refuses nothing before its deadline while few requests are ahead', () => {
			const queue = buildBusy();
			take(queue, 10, 1001);
			queue.add(buildRequest({cost: 1_000_000, deadlineAt: 60_000}), 'long', 1001);
			const item = queue.add(buildRequest({urgency: 2, deadlineAt: 1500}), 'next', 1001);
			expect(queue.listUnreachable(1002)).to.deep.equal([]);
			expect(queue.listUnreachable(1500)).to.deep.equal([item]);
		});

		// Guards against refusals while the rate is not known, for example after a start.
		it('refuses nothing before its deadline without a known rate', () => {
			const queue = fill([{deadlineAt: 50, cost: 1_000_000}, {deadlineAt: 60}]);
			expect(queue.listUnreachable(10)).to.deep.equal([]);
			expect(queue.listUnreachable(55).map(({value}) => value)).to.deep.equal(['0']);
		});

		// Guards against a refused request that is placed nevertheless, so that the promise "not run" is wrong.
		it('never places a request that was removed', () => {
			fc.assert(fc.property(fc.array(fc.tuple(urgencies, fc.boolean()), {maxLength: 40}), requests => {
				const queue = fill(requests.map(([urgency]) => ({urgency})));
				const removed = new Set([...queue.list()].filter(({value}) => requests[Number(value)]![1]));
				for (const item of removed) {
					expect(queue.remove(item, 0)).to.equal(true);
					expect(queue.remove(item, 0)).to.equal(false);
				}

				const taken = take(queue, 100);
				expect(taken.filter(item => removed.has(item))).to.deep.equal([]);
				expect(taken).to.have.lengthOf(requests.length - removed.size);
				expect(queue.size).to.equal(0);
			}), seeded);
		});
	});

	// Guards against reports that name answers that have begun, for which no other entry has to leave room, or requests that have left.
	it('summarizes what waits by urgency', () => {
		const queue = fill([{urgency: 2, cost: 5}, {urgency: 0, cost: 7}, {urgency: 2, cost: 6}, {urgency: 1, hasBegun: true}]);
		expect(queue.summarize('s').toSorted((a, b) => a.urgency - b.urgency)).to.deep.equal([
			{
				service: 's', urgency: 0, requests: 1, cost: 7,
			}, {
				service: 's', urgency: 2, requests: 2, cost: 11,
			},
		]);
		take(queue, 4);
		expect(queue.summarize('s')).to.deep.equal([]);
	});
});
