import {expect} from 'chai';
import {PrefixIndex} from './prefix-index.js';

const blocks = ['b0', 'b1', 'b2', 'b3'];

describe('PrefixIndex', () => {
	// Guards against affinity to an engine that caches only a later part of the prompt.
	it('counts only leading blocks', () => {
		const index = new PrefixIndex();
		index.applyEvents('s', 'boot-1', [{seq: 1, kind: 'stored', blocks: ['b0', 'b1', 'b3']}], 0);
		expect(index.countMatching('s', blocks, 1)).to.equal(2);
		expect(index.countMatching('unknown', blocks, 1)).to.equal(0);
	});

	// Guards against stale hints, since an engine's cache is empty after a restart.
	it('removes all blocks of a server when its boot id changes', () => {
		const index = new PrefixIndex();
		index.applyEvents('s', 'boot-1', [{seq: 9, kind: 'stored', blocks}], 0);
		index.applyEvents('s', 'boot-2', [], 1);
		expect(index.countMatching('s', blocks, 1)).to.equal(0);
		expect(index.getLastSeq('s', 'boot-2')).to.be.undefined;
	});

	// Guards against counting blocks as cached whose eviction event was lost.
	it('reports gaps and trusts blocks stored before a gap only for a short time', () => {
		const index = new PrefixIndex({maxAgeMs: 600_000, maxAgeAfterGapMs: 30_000});
		index.applyEvents('s', 'boot-1', [{seq: 1, kind: 'stored', blocks: ['b0', 'b1']}], 0);
		expect(index.applyEvents('s', 'boot-1', [{seq: 5, kind: 'stored', blocks: ['b1']}], 1000)).to.equal(3);
		expect(index.countMatching('s', blocks, 30_000)).to.equal(2);
		expect(index.countMatching('s', blocks, 31_001)).to.equal(0);
		expect(index.countMatching('s', ['b1'], 31_001)).to.equal(1);
	});

	// Guards against an old event that overwrites the effect of a newer one.
	it('ignores events that arrive twice or late', () => {
		const index = new PrefixIndex();
		index.applyEvents('s', 'boot-1', [{seq: 1, kind: 'stored', blocks}, {seq: 2, kind: 'evicted', blocks: ['b2']}], 0);
		index.applyEvents('s', 'boot-1', [{seq: 1, kind: 'stored', blocks}], 1);
		expect(index.countMatching('s', blocks, 2)).to.equal(2);
		index.applyEvents('s', 'boot-1', [{seq: 3, kind: 'cleared', blocks: []}], 3);
		expect(index.countMatching('s', blocks, 4)).to.equal(0);
		expect(index.getLastSeq('s', 'boot-1')).to.equal(3);
	});

	// Guards against unbounded memory use for one busy engine.
	it('keeps the newest blocks up to its bound and removes old ones', () => {
		const index = new PrefixIndex({maxBlocksPerServer: 2, maxAgeMs: 100});
		index.applyEvents('s', 'boot-1', [{seq: 1, kind: 'stored', blocks: ['x', 'b0', 'b1']}], 0);
		expect(index.countMatching('s', ['x'], 1)).to.equal(0);
		expect(index.countMatching('s', blocks, 1)).to.equal(2);
		index.removeExpired(100);
		expect(index.countMatching('s', blocks, 1)).to.equal(0);
	});
});
