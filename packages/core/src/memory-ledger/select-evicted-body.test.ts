import {expect} from 'chai';
import {selectEvictedBody} from './select-evicted-body.js';

const slowLarge = {workspace: 'crowd', heldBytes: 200_000, startedAt: 0};
const fastLarge = {workspace: 'mill', heldBytes: 200_000, startedAt: 990};
const slowSmall = {workspace: 'mill', heldBytes: 100, startedAt: 0};
const empty = {workspace: 'mill', heldBytes: 0, startedAt: 0};

describe('eviction of unfinished bodies', () => {
	// Guards against ordinary callers that are refused because of a crowd that holds its bodies back.
	it('selects the slowest and largest body first', () => {
		expect(selectEvictedBody([fastLarge, slowSmall, slowLarge], 1000)).to.equal(slowLarge);
		expect(selectEvictedBody([slowSmall, fastLarge], 1000)).to.equal(fastLarge);
	});

	// Guards against a workspace that makes room for itself at the cost of others.
	it('stays within the account that has no room', () => {
		expect(selectEvictedBody([slowLarge, fastLarge, slowSmall], 1000, {workspace: 'mill'})).to.equal(fastLarge);
		expect(selectEvictedBody([slowLarge], 1000, {workspace: undefined})).to.equal(undefined);
	});

	// Guards against a request that is refused without any room gained.
	it('never selects a body that holds nothing', () => {
		expect(selectEvictedBody([empty], 1000)).to.equal(undefined);
	});
});
