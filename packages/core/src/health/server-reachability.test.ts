import {expect} from 'chai';
import {ServerReachability} from './server-reachability.js';

describe('ServerReachability', () => {
	let reachability: ServerReachability;

	beforeEach(() => {
		reachability = new ServerReachability(() => 400);
	});

	const probe = (reached: number, now: number, tried = 3): boolean => {
		reachability.applyProbe({tried, reached}, now);
		return reachability.isReaching;
	};

	describe('suspicion', () => {
		// Guards against requests that wait for their deadlines, because nothing notices that all servers have gone silent.
		it('asks for a probe once all servers have been silent while a request waits', () => {
			reachability.recordSent(1000);
			reachability.recordSent(1300);
			expect(reachability.isProbeDue(1399)).to.equal(false);
			expect(reachability.isProbeDue(1400)).to.equal(true);
		});

		// Guards against connections that are opened all the time while servers answer.
		it('asks for no probe while bytes arrive, while nothing waits, or shortly after a probe', () => {
			expect(reachability.isProbeDue(5000)).to.equal(false);
			reachability.recordSent(1000);
			reachability.recordReceived();
			expect(reachability.isProbeDue(5000)).to.equal(false);
			reachability.recordSent(5000);
			probe(3, 5300);
			expect(reachability.isProbeDue(5400)).to.equal(false);
		});
	});

	describe('decision', () => {
		// Guards against an entry that stops using its own links because some servers have ended.
		it('stays reaching while one of the probed servers is reached', () => {
			expect(probe(1, 0)).to.equal(true);
			expect(probe(0, 300)).to.equal(false);
		});

		// Guards against a decision from a probe without servers, as before the store was read.
		it('decides nothing without servers', () => {
			expect(probe(0, 0, 0)).to.equal(true);
		});

		// Guards against an entry that returns to links which fail again at once.
		it('reaches again after two probes in a row that reach most servers', () => {
			probe(0, 0);
			expect(reachability.isProbeDue(499)).to.equal(false);
			expect(reachability.isProbeDue(500)).to.equal(true);
			expect(probe(3, 500)).to.equal(false);
			expect(probe(1, 1000)).to.equal(false);
			expect(probe(2, 1500)).to.equal(false);
			expect(probe(2, 2000)).to.equal(true);
		});
	});
});
