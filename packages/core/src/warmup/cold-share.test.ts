import {expect} from 'chai';
import fc from 'fast-check';
import {ColdShareTable} from './cold-share.js';

const buildIds = (count: number): string[] => Array.from({length: count}, (_, index) => `entry-${index}`);

const computeShares = (entryIds: readonly string[], requestsPerSecond: number, serverId = 'cold'): number[] =>
	entryIds.map(entryId => new ColdShareTable().computeShare(serverId, {requestsPerSecond, entryId, entryIds}));

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

describe('ColdShareTable', () => {
	describe('with more entries than requests per second', () => {
		// Guards against cold servers that stand empty while others are full, because each entry's equal share is below one request.
		it('gives whole shares to as many entries as the bound allows', () => {
			expect(sum(computeShares(buildIds(77), 17))).to.equal(17);
		});

		// Guards against a few entries that hold the shares of all cold servers, so that callers of the others find none.
		it('selects other entries for each server', () => {
			const entryIds = buildIds(77);
			const shares = buildIds(30).map(serverId => computeShares(entryIds, 17, serverId));
			const byEntry = entryIds.map((_, index) => sum(shares.map(each => each[index]!)));
			expect(Math.max(...byEntry)).to.be.at.most(16);
			expect(Math.min(...byEntry)).to.be.at.least(1);
		});

		// Guards against more arrivals than a cold server bears while entries do not know of a change of the fleet yet: 1.5 times its bound and 5 more.
		it('stays within the tolerance of the bound while half of the entries know an older fleet', () => {
			fc.assert(fc.property(fc.integer({min: 20, max: 120}), fc.integer({min: 1, max: 10}), (count, joined) => {
				const before = buildIds(count);
				const after = buildIds(count + joined);
				const sharesBefore = computeShares(before, 17);
				const sharesAfter = computeShares(after, 17);
				const mixed = after.map((_, index) => index % 2 === 0 && index < count ? sharesBefore[index]! : sharesAfter[index]!);
				expect(sum(mixed)).to.be.at.most((17 * 1.5) + 5);
			}), {seed: 1, numRuns: 100});
		});
	});

	describe('with fewer entries than requests per second', () => {
		// Guards against a change for fleets in which equal shares work.
		it('gives all entries the same share', () => {
			expect(computeShares(buildIds(8), 36)).to.deep.equal(Array.from({length: 8}, () => 4));
		});
	});

	// Guards against ranks of an older list of entries that stay in use.
	it('follows a new list of entries', () => {
		const table = new ColdShareTable();
		const entryIds = buildIds(77);
		const holder = entryIds[computeShares(entryIds, 17).indexOf(1)]!;
		const remaining = entryIds.filter(id => id !== holder);
		expect(table.computeShare('cold', {requestsPerSecond: 17, entryId: holder, entryIds})).to.equal(1);
		expect(table.computeShare('cold', {requestsPerSecond: 17, entryId: holder, entryIds: remaining})).to.equal(0);
	});
});
