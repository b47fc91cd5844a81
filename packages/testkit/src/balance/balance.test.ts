import {expect} from 'chai';
import {runBalance, type BalanceResult, type BalanceScenario} from './balance-run.js';
import {choices} from './choices.js';

const scenario: BalanceScenario = {
	entries: 35, servers: 54, ageMs: 200, durationMs: 12_000, shortPerSecond: 70, burst: 2.5, longPerSecond: 6, seed: 3,
};

const compare = (changes: Partial<BalanceScenario> = {}): {today: BalanceResult; spread: BalanceResult} => ({
	today: runBalance({...scenario, ...changes}, choices.today),
	spread: runBalance({...scenario, ...changes}, choices['home servers']),
});

describe('even load in virtual time', () => {
	// Guards against entries that all fill the same first engines from the same old figures while others are idle.
	it('spreads a burst of short prompts', () => {
		const {today, spread} = compare();
		expect(today.busiestToMean).to.be.above(2.5);
		expect(spread.busiestToMean).to.be.below(1.6);
		expect(spread.collisions).to.be.at.most(today.collisions / 4);
		expect(spread.lateShort).to.be.at.most(today.lateShort);
	});

	// Guards against a spread of short prompts that leaves no idle engines to long ones.
	it('finds idle engines for long prompts beside short ones', () => {
		const {today, spread} = compare({shortPerSecond: 50, longPerSecond: 14});
		expect(spread.long).to.be.above(100);
		expect(spread.lateLong).to.be.at.most(today.lateLong + 1);
	});

	// Guards against home servers that are full while those of the other domains are idle.
	it('uses the home servers of other domains for a hot zone', () => {
		const {spread} = compare({shortPerSecond: 60, hotDomainShare: 0.6});
		expect(spread.busiestToMean).to.be.below(2.2);
		expect(spread.lateShort).to.be.below(spread.short * 0.02);
	});

	// Guards against a server that turns slow and still gets an equal share, because its open requests are not counted.
	it('sends less to a server that turns slow', () => {
		const {spread} = compare({slowness: 4});
		const mean = spread.arrivals.reduce((sum, count) => sum + count, 0) / spread.arrivals.length;
		expect(spread.arrivals[0]).to.be.below(mean * 0.8);
	});

	// Guards against a choice that is worse than the shared order where figures are nearly fresh.
	it('does no worse than the shared order with fresh figures', () => {
		const {today, spread} = compare({ageMs: 5});
		expect(spread.collisions).to.be.at.most(today.collisions);
		expect(spread.busiestToMean).to.be.at.most(today.busiestToMean);
		expect(spread.lateShort).to.be.at.most(today.lateShort);
	});
});
