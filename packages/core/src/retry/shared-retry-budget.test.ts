import {expect} from 'chai';
import fc from 'fast-check';
import {SharedRetryBudget} from './shared-retry-budget.js';

describe('SharedRetryBudget', () => {
	// Guards against entries that together exceed the common bound while they cannot exchange messages.
	it('keeps the common bound in each window with any number of entries', () => {
		const bound = {ratio: 0.2, slack: 104, windowMs: 10_000};
		const event = fc.record({entry: fc.nat(7), atMs: fc.nat(30_000), isRequest: fc.boolean()});
		fc.assert(fc.property(fc.array(event, {maxLength: 800}), events => {
			const budgets = Array.from({length: 8}, () => {
				const budget = new SharedRetryBudget();
				budget.setBound(bound);
				return budget;
			});
			const requests: number[] = [];
			const retries: number[] = [];
			for (const {entry, atMs, isRequest} of events.toSorted((a, b) => a.atMs - b.atMs)) {
				if (isRequest) {
					budgets[entry]!.recordRequest(atMs);
					requests.push(atMs);
				} else if (budgets[entry]!.tryConsume(atMs, 8)) {
					retries.push(atMs);
				}
			}

			for (const end of retries) {
				const inWindow = (time: number): boolean => time <= end && time > end - bound.windowMs;
				expect(retries.filter(time => inWindow(time)).length).to.be.at.most((bound.ratio * requests.filter(time => inWindow(time)).length) + bound.slack);
			}
		}), {seed: 11, numRuns: 60});
	});

	it('allows nothing without a bound', () => {
		expect(new SharedRetryBudget().tryConsume(0, 1)).to.equal(false);
	});
});
