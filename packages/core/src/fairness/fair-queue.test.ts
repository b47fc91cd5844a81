import {expect} from 'chai';
import fc from 'fast-check';
import {FairQueue} from './fair-queue.js';

const compareText = (a: string, b: string): number => a < b ? -1 : 1;

describe('FairQueue', () => {
	const createEntry = (workspaceId: string, cost: number, weight = 1, order = 0) => ({
		workspaceId, weight, cost, order, value: workspaceId,
	});

	// Guards against a workspace that gets more than its share by sending more or larger requests.
	it('serves backlogged workspaces in proportion to their weights, within one largest cost each', () => {
		const flows = fc.array(fc.record({
			weight: fc.integer({min: 1, max: 8}), costs: fc.array(fc.integer({min: 1, max: 5000}), {minLength: 50, maxLength: 80}),
		}), {minLength: 2, maxLength: 6});
		fc.assert(fc.property(flows, list => {
			const queue = new FairQueue<string>();
			const remaining = list.map(({costs}) => costs.length);
			const served = list.map(() => 0);
			for (const [index, {weight, costs}] of list.entries()) {
				for (const cost of costs) {
					queue.add(createEntry(String(index), cost, weight));
				}
			}

			while (remaining.every(count => count > 0)) {
				const {workspaceId, cost} = queue.removeFirst()!;
				const index = Number(workspaceId);
				remaining[index]!--;
				served[index]! += cost / list[index]!.weight;
				expect(Math.max(...served) - Math.min(...served)).to.be.at.most(2 * 5000);
			}
		}), {seed: 20_261_204});
	});

	// Guards against a workspace that accumulates credit while it is idle and then blocks all others.
	it('gives no credit for idle time', () => {
		const queue = new FairQueue<string>();
		for (let index = 0; index < 100; index++) {
			queue.add(createEntry('busy', 1000));
		}

		for (let index = 0; index < 50; index++) {
			queue.removeFirst();
		}

		for (let index = 0; index < 50; index++) {
			queue.add(createEntry('new', 1000));
		}

		const next = Array.from({length: 20}, () => queue.removeFirst()!.workspaceId);
		expect(next.filter(workspaceId => workspaceId === 'busy')).to.have.lengthOf.within(9, 11);
	});

	// Guards against a choice beyond the first entry that differs from the order of service, or that is not charged.
	it('lists the entries in the order in which they are served, and charges one that is served out of order', () => {
		const entries = fc.array(fc.record({workspace: fc.nat(3), cost: fc.integer({min: 1, max: 100}), order: fc.nat(1000)}), {minLength: 1, maxLength: 60});
		fc.assert(fc.property(entries, fc.nat(), (list, choice) => {
			const queue = new FairQueue<string>();
			const byFirst = new FairQueue<string>();
			for (const {workspace, cost, order} of list) {
				queue.add(createEntry(`w${workspace}`, cost, 1, order));
				byFirst.add(createEntry(`w${workspace}`, cost, 1, order));
			}

			const listed = [...queue.list()];
			const served = listed.map(() => byFirst.removeFirst()!);
			expect(listed.map(({workspaceId}) => workspaceId).toSorted(compareText)).to.deep.equal(served.map(({workspaceId}) => workspaceId).toSorted(compareText));
			expect(new Set(listed).size).to.equal(list.length);
			const chosen = listed[choice % listed.length]!;
			const before = queue.cost;
			expect(queue.serve(chosen)).to.be.true;
			expect(queue.serve(chosen)).to.be.false;
			expect(queue.cost).to.equal(before - chosen.cost);
			expect([...queue.list()]).to.have.members(listed.filter(entry => entry !== chosen));
		}), {seed: 20_261_206});
	});

	it('serves another workspace after one that was served out of order', () => {
		const queue = new FairQueue<string>();
		const first = createEntry('a', 10, 1, 0);
		const second = createEntry('a', 10, 1, 1);
		const other = createEntry('b', 10, 1, 0);
		for (const entry of [first, second, other]) {
			queue.add(entry);
		}

		queue.serve(second);
		expect([...queue.list()]).to.deep.equal([other, first]);
		expect(queue.removeFirst()).to.equal(other);
	});

	// Guards against lost or repeated entries and against wrong totals after removals in any order.
	it('returns every entry once and keeps its totals', () => {
		const actions = fc.array(fc.record({
			action: fc.constantFrom('add', 'add', 'removeFirst', 'remove'), workspace: fc.nat(3), cost: fc.integer({min: 1, max: 100}), order: fc.nat(10),
		}), {maxLength: 200});
		fc.assert(fc.property(actions, list => {
			const queue = new FairQueue<string>();
			const present = new Set<ReturnType<typeof createEntry>>();
			for (const {action, workspace, cost, order} of list) {
				const some = [...present][cost % Math.max(1, present.size)];
				if (action === 'add') {
					const entry = createEntry(`w${workspace}`, cost, 1, order);
					queue.add(entry);
					present.add(entry);
				} else if (action === 'removeFirst') {
					const entry = queue.removeFirst();
					expect(entry === undefined).to.equal(present.size === 0);
					const peers = [...present].filter(other => other.workspaceId === entry?.workspaceId);
					expect(Math.min(entry?.order ?? 0, ...peers.map(peer => peer.order))).to.equal(entry?.order ?? 0);
					expect(entry === undefined || present.delete(entry)).to.be.true;
				} else if (some !== undefined) {
					expect(queue.remove(some)).to.be.true;
					present.delete(some);
				}

				expect(queue.size).to.equal(present.size);
				expect(queue.cost).to.equal([...present].reduce((sum, entry) => sum + entry.cost, 0));
			}
		}), {seed: 20_261_204});
	});
});
