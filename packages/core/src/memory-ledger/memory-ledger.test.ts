import {expect} from 'chai';
import {
	array, assert, constantFrom, integer, property, record,
} from 'fast-check';
import {memoryKinds, type MemoryHold, type MemoryKind} from './memory-account.js';
import {MemoryLedger} from './memory-ledger.js';
import {computeMemoryLimits, type MemoryLimits} from './memory-limits.js';

const kinds = Object.values(memoryKinds);
const fillKinds = (bytes: number): Record<MemoryKind, number> => ({
	head: bytes, body: bytes, answer: bytes, held: bytes, tunnel: bytes,
});
const limits: MemoryLimits = {budgetBytes: 1000, kindBytes: fillKinds(400), workspaceBytes: fillKinds(250)};
const workspaces = ['mill', 'barn', undefined];
const holdCount = 6;

type OpenHold = {hold: MemoryHold; kind: MemoryKind; workspace: string | undefined};

const addBytes = (open: OpenHold[]): number => open.reduce((sum, {hold}) => sum + hold.bytes, 0);

/** Checks all sums of the ledger against the open holds, and against the limits. */
const expectSums = (ledger: MemoryLedger, open: OpenHold[]): void => {
	expect(ledger.getHeldBytes()).to.equal(addBytes(open)).and.to.be.within(0, limits.budgetBytes);
	for (const kind of kinds) {
		const ofKind = open.filter(entry => entry.kind === kind);
		expect(ledger.getHeldBytes(kind)).to.equal(addBytes(ofKind)).and.to.be.at.most(limits.kindBytes[kind]);
		for (const workspace of workspaces) {
			const bytes = addBytes(ofKind.filter(entry => entry.workspace === workspace));
			expect(ledger.getAccountBytes({kind, workspace})).to.equal(bytes).and.to.be.at.most(limits.workspaceBytes[kind]);
		}
	}
};

describe('memory ledger', () => {
	describe('random sequences', () => {
		const step = record({
			hold: integer({min: 0, max: holdCount - 1}),
			action: constantFrom<'tryAdd' | 'remove' | 'release' | 'open'>('tryAdd', 'remove', 'release', 'open'),
			bytes: integer({min: 0, max: 300}),
			kind: constantFrom(...kinds),
			workspace: constantFrom(...workspaces),
		});

		// Guards against more memory than the instance has, and against bytes that are counted twice, negative, or never returned.
		it('stay within all limits, and return everything', () => {
			assert(property(array(step, {minLength: 40, maxLength: 80}), steps => {
				const ledger = new MemoryLedger(limits);
				const open: OpenHold[] = [];
				const everOpened: MemoryHold[] = [];
				for (const {hold: index, action, bytes, kind, workspace} of steps) {
					const entry = open[index];
					if (entry === undefined || action === 'open') {
						const hold = ledger.open({kind, workspace});
						open.push({hold, kind, workspace});
						everOpened.push(hold);
					} else if (action === 'tryAdd') {
						const before = entry.hold.bytes;
						const isAdded = entry.hold.tryAdd(bytes);
						expect(entry.hold.bytes).to.equal(isAdded ? before + bytes : before);
					} else if (action === 'remove') {
						const before = entry.hold.bytes;
						entry.hold.remove(bytes);
						expect(entry.hold.bytes).to.equal(Math.max(0, before - bytes));
					} else {
						entry.hold.release();
						expect(entry.hold.bytes).to.equal(0);
						open.splice(index, 1);
					}

					expectSums(ledger, open);
				}

				for (const hold of everOpened) {
					hold.release();
					hold.release();
					expect(hold.tryAdd(1)).to.equal(false);
				}

				expect(ledger.getHeldBytes()).to.equal(0);
			}), {seed: 1, numRuns: 200});
		});
	});

	describe('room', () => {
		// Guards against a caller that is refused for good once a limit was reached.
		it('is granted again as soon as bytes are returned', () => {
			const ledger = new MemoryLedger(limits);
			const first = ledger.open({kind: 'body', workspace: 'mill'});
			const second = ledger.open({kind: 'body', workspace: 'mill'});
			expect(first.tryAdd(250)).to.equal(true);
			expect(second.tryAdd(1)).to.equal(false);
			first.remove(1);
			expect(second.tryAdd(1)).to.equal(true);
		});

		// Guards against a crowd of one workspace, or of unknown callers, that takes the room of the others.
		it('of a workspace is not taken by another', () => {
			const ledger = new MemoryLedger(limits);
			expect(ledger.open({kind: 'body', workspace: undefined}).tryAdd(250)).to.equal(true);
			expect(ledger.open({kind: 'body', workspace: undefined}).tryAdd(1)).to.equal(false);
			expect(ledger.open({kind: 'body', workspace: 'mill'}).tryAdd(150)).to.equal(true);
		});

		// Guards against workspaces that each stay within their share, and together take more than the kind has.
		it('of a kind is not exceeded by several workspaces', () => {
			const ledger = new MemoryLedger(limits);
			expect(ledger.open({kind: 'body', workspace: 'mill'}).tryAdd(250)).to.equal(true);
			const barn = ledger.open({kind: 'body', workspace: 'barn'});
			expect(barn.tryAdd(151)).to.equal(false);
			expect(barn.tryAdd(150)).to.equal(true);
		});

		// Guards against sizes that are not numbers, which would make every later sum useless.
		it('is refused for a size that is negative or not a number', () => {
			const hold = new MemoryLedger(limits).open({kind: 'body', workspace: undefined});
			expect(hold.tryAdd(Number.NaN)).to.equal(false);
			expect(hold.tryAdd(-1)).to.equal(false);
			hold.remove(-5);
			expect(hold.bytes).to.equal(0);
		});
	});

	describe('limits', () => {
		// Guards against kinds that take one another's room, and against a budget that does not leave the margin.
		it('of the kinds add up to the budget, which leaves the program and the margin', () => {
			const memoryBytes = 250_000_000;
			const {budgetBytes, kindBytes} = computeMemoryLimits(memoryBytes);
			expect(Object.values(kindBytes).reduce((sum, bytes) => sum + bytes, 0)).to.be.at.most(budgetBytes);
			expect(budgetBytes + 110_000_000).to.be.at.most(memoryBytes * 0.75);
		});

		// Guards against an instance without room for a single request because its memory is stated as less than the program needs.
		it('are positive for a small instance', () => {
			expect(computeMemoryLimits(1).budgetBytes).to.be.greaterThan(1_000_000);
		});
	});
});
