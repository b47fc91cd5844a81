import {expect} from 'chai';
import fc from 'fast-check';
import {readingDecisions, SlowReader} from './slow-reader.js';

const limits = {holdBytes: 1000, pauseMs: 300, stallMs: 2000};
const resumable = {isResumable: true, hasRoom: true};
const plain = {isResumable: false, hasRoom: true};

describe('SlowReader', () => {
	describe('below the bound', () => {
		// Guards against answers that are left unread, and then cut by their server, although the entry has room for them.
		it('reads on however long the caller takes', () => {
			const reader = new SlowReader(limits);
			reader.add(999, 0);
			expect(reader.decide(100_000, plain)).to.equal(readingDecisions.read);
		});
	});

	describe('at the bound', () => {
		// Guards against a caller that loses its answer because its server is faster for a moment.
		it('pauses, and reads on once the caller has taken a part', () => {
			const reader = new SlowReader(limits);
			reader.add(1000, 0);
			expect(reader.decide(299, plain)).to.equal(readingDecisions.pause);
			reader.take(1, 299);
			expect(reader.decide(1000, plain)).to.equal(readingDecisions.read);
			reader.add(1, 1000);
			expect(reader.decide(1299, plain)).to.equal(readingDecisions.pause);
		});

		// Guards against a pause that lasts until the server cuts the answer, and against a stream that ends although it could continue.
		it('detaches a resumable stream and cuts other answers after the longest pause', () => {
			const reader = new SlowReader(limits);
			reader.add(1500, 10);
			reader.take(500, 200);
			expect(reader.computePauseLeftMs(200)).to.equal(110);
			expect(reader.decide(310, resumable)).to.equal(readingDecisions.detach);
			expect(reader.decide(310, plain)).to.equal(readingDecisions.cut);
		});
	});

	describe('without memory', () => {
		// Guards against a part that is held beyond the budget while a pause runs.
		it('detaches or cuts at once', () => {
			const reader = new SlowReader(limits);
			expect(reader.decide(0, {isResumable: true, hasRoom: false})).to.equal(readingDecisions.detach);
			expect(reader.decide(0, {isResumable: false, hasRoom: false})).to.equal(readingDecisions.cut);
		});
	});

	describe('a caller that takes nothing', () => {
		// Guards against connections that stay open for ever, and against closing one that has taken everything or takes a little.
		it('is stalled from its first waiting byte or its last taken one', () => {
			const reader = new SlowReader(limits);
			expect(reader.computeStallLeftMs(5000)).to.equal(Number.POSITIVE_INFINITY);
			reader.add(10, 5000);
			reader.add(10, 6000);
			expect(reader.computeStallLeftMs(6500)).to.equal(500);
			reader.take(10, 6900);
			expect(reader.computeStallLeftMs(8800)).to.equal(100);
			reader.take(10, 8800);
			expect(reader.computeStallLeftMs(100_000)).to.equal(Number.POSITIVE_INFINITY);
		});
	});

	// Guards against memory that grows with the answer, an answer unread for too long, and a caller that loses a stream it reads.
	it('holds at most the bound and one part, and gives up only callers that stay at the bound', () => {
		const step = fc.record({afterMs: fc.nat(200), part: fc.integer({min: 1, max: 400}), taken: fc.nat(600)});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), fc.boolean(), (steps, isResumable) => {
			const reader = new SlowReader(limits);
			let now = 0;
			let fullSince: number | undefined;
			for (const {afterMs, part, taken} of steps) {
				now += afterMs;
				const decision = reader.decide(now, {isResumable, hasRoom: true});
				const fullMs = fullSince === undefined ? 0 : now - fullSince;
				if (decision === readingDecisions.detach || decision === readingDecisions.cut) {
					expect(decision === readingDecisions.detach).to.equal(isResumable);
					expect(fullMs).to.be.at.least(limits.pauseMs);
					return;
				}

				expect(fullMs).to.be.below(limits.pauseMs);
				if (decision === readingDecisions.read) {
					reader.add(part, now);
				}

				expect(reader.heldBytes).to.be.below(limits.holdBytes + 400);
				reader.take(Math.min(taken, reader.heldBytes), now);
				fullSince = reader.heldBytes >= limits.holdBytes ? fullSince ?? now : undefined;
			}
		}), {seed: 21, numRuns: 2000});
	});
});
