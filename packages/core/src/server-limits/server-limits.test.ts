import {expect} from 'chai';
import {computeRateShare} from './compute-rate-share.js';
import {minRequestsPerSecond, ServerLimitTable, type LimitObservation} from './server-limit-table.js';

const buildObservation = (changes: Partial<LimitObservation> = {}): LimitObservation => ({
	serverId: 's', bootId: 'b', requestsPerSecond: 2, observedAt: 10, ...changes,
});

describe('computeRateShare', () => {
	// Guards against shares that round to nothing or add up to more than the limit.
	it('divides the whole rate over the entries that have a share', () => {
		for (const requestsPerSecond of [0.1, 0.5, 1, 2.5, 7, 40]) {
			for (const entries of [1, 2, 8, 87, 350]) {
				const shares = Array.from({length: entries}, (_, rank) => computeRateShare({
					requestsPerSecond, entries, rank, answerAgeMs: 0,
				}));
				expect(shares.reduce((sum, share) => sum + share, 0)).to.be.closeTo(requestsPerSecond, 1e-9);
				expect(shares.filter(share => share > 0).length).to.be.at.most(Math.max(1, requestsPerSecond));
			}
		}
	});

	// Guards against a server that gets no request for ever because the entry with the share cannot reach it.
	it('gives more entries a share while no answer comes', () => {
		const shares = [0, 10_000, 20_000].map(answerAgeMs => Array.from({length: 8}, (_, rank) => computeRateShare({
			requestsPerSecond: 1, entries: 8, rank, answerAgeMs,
		})));
		expect(shares.map(each => each.filter(share => share > 0).length)).to.deep.equal([1, 2, 4]);
		expect(shares.map(each => each.reduce((sum, share) => sum + share, 0))).to.deep.equal([1, 1, 1]);
	});
});

describe('ServerLimitTable', () => {
	it('keeps the limit of the last answer', () => {
		const table = new ServerLimitTable();
		expect(table.record(buildObservation({requestsPerSecond: undefined, observedAt: 5}))).to.equal(false);
		expect(table.record(buildObservation())).to.equal(true);
		expect(table.record(buildObservation({observedAt: 12}))).to.equal(false);
		expect(table.record(buildObservation({requestsPerSecond: 1, observedAt: 11}))).to.equal(false);
		expect(table.getLimit('s', 'b')).to.deep.equal({requestsPerSecond: 2, observedAt: 12});
		expect(table.record(buildObservation({requestsPerSecond: undefined, observedAt: 13}))).to.equal(true);
		expect(table.getLimit('s', 'b')).to.equal(undefined);
		// A report from before the end of the limit must not restore it.
		expect(table.record(buildObservation({observedAt: 12.5}))).to.equal(false);
	});

	it('applies a limit to one incarnation', () => {
		const table = new ServerLimitTable();
		table.record(buildObservation());
		expect(table.getLimit('s', 'c')).to.equal(undefined);
	});

	// Guards against a server that named 0 and is never asked again.
	it('asks a server that takes nothing from time to time', () => {
		const table = new ServerLimitTable();
		table.record(buildObservation({requestsPerSecond: 0}));
		expect(table.getLimit('s', 'b')!.requestsPerSecond).to.equal(minRequestsPerSecond);
	});

	it('forgets servers that are gone', () => {
		const table = new ServerLimitTable();
		table.record(buildObservation());
		table.retain(new Set());
		expect(table.list()).to.deep.equal([]);
	});
});
