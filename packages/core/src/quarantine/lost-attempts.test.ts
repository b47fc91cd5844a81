import {expect} from 'chai';
import {LostAttempts, type LostAttempt} from './lost-attempts.js';

const buildAttempt = (changes: Partial<LostAttempt> = {}): LostAttempt => ({
	positions: [{fingerprint: 'x', chainLength: 1}], attemptId: 'a1', serverId: 's1', bootId: 'b1', ...changes,
});

describe('LostAttempts', () => {
	let lost: LostAttempts;

	beforeEach(() => {
		lost = new LostAttempts();
	});

	it('returns the attempts of a server that has ended, once', () => {
		lost.add(buildAttempt(), 0);
		lost.add(buildAttempt({attemptId: 'a2', serverId: 's2'}), 0);
		expect(lost.removeEnded('s1', 5).map(({attemptId}) => attemptId)).to.deep.equal(['a1']);
		expect(lost.removeEnded('s1', 5)).to.deep.equal([]);
	});

	// Guards against a restart under the same id that goes unnoticed, and against a listed server that counts as ended.
	it('tells incarnations of a server apart', () => {
		lost.add(buildAttempt(), 0);
		expect(lost.removeEnded('s1', 5, 'b1')).to.deep.equal([]);
		expect(lost.removeEnded('s1', 5, 'b2')).to.have.length(1);
		lost.add(buildAttempt({bootId: undefined}), 6);
		expect(lost.removeEnded('s1', 7, 'b2')).to.deep.equal([]);
	});

	// Guards against a reset connection that counts as the end of a server which answers others.
	it('forgets attempts once the server answers a later request', () => {
		lost.add(buildAttempt(), 10);
		lost.removeAnswered('s1', 9);
		expect(lost.size).to.equal(1);
		lost.removeAnswered('s1', 11);
		expect(lost.size).to.equal(0);
	});

	it('lists attempts as unsettled until their server was checked', () => {
		const settle = lost.add(buildAttempt(), 0);
		lost.add(buildAttempt({attemptId: 'a2'}), 0);
		expect(lost.listUnsettled().map(({attemptId}) => attemptId)).to.deep.equal(['a1', 'a2']);
		settle();
		expect(lost.listUnsettled().map(({attemptId}) => attemptId)).to.deep.equal(['a2']);
		expect(lost.listServers()).to.deep.equal(new Set(['s1']));
		lost.removeEnded('s1', 1);
		expect(lost.listUnsettled()).to.deep.equal([]);
	});

	// Guards against memory that grows with the number of lost attempts, and against old losses that count when a server leaves.
	it('keeps a bounded number of attempts for a bounded time', () => {
		for (let index = 0; index < 3000; index++) {
			lost.add(buildAttempt({attemptId: `a${index}`}), 0);
		}

		expect(lost.size).to.equal(2048);
		expect(lost.removeEnded('s1', 10_001)).to.deep.equal([]);
	});
});
