import {expect} from 'chai';
import type {FingerprintRecord} from './fingerprint-record.js';
import {UnconfirmedCrashes} from './unconfirmed-crashes.js';

const buildRecord = (...attemptIds: string[]): FingerprintRecord => ({
	fingerprint: 'x', standing: 'suspect', crashes: attemptIds.map(attemptId => ({
		attemptId, serverId: `s-${attemptId}`, bootId: 'b', companions: [], entryId: 'e1', chainLength: 1,
	})),
});

const listAttempts = (records: readonly FingerprintRecord[]): string[] => records.flatMap(({crashes}) => crashes.map(({attemptId}) => attemptId));

describe('UnconfirmedCrashes', () => {
	let unconfirmed: UnconfirmedCrashes;

	beforeEach(() => {
		unconfirmed = new UnconfirmedCrashes();
	});

	// Guards against crashes that are forgotten because the entry that saw them has ended.
	it('returns crashes whose entry has told nothing more in time, once', () => {
		unconfirmed.add([buildRecord('a1')], 0);
		unconfirmed.add([buildRecord('a2')], 1000);
		expect(unconfirmed.removeOverdue(1499)).to.deep.equal([]);
		expect(unconfirmed.removeOverdue(1500)).to.deep.equal([buildRecord('a1')]);
		expect(unconfirmed.removeOverdue(2500)).to.deep.equal([buildRecord('a2')]);
		expect(unconfirmed.size).to.equal(0);
	});

	// Guards against refusing content because connections to servers that go on running were reset.
	it('forgets withdrawn attempts and keeps the others', () => {
		unconfirmed.add([buildRecord('a1', 'a2')], 0);
		expect(unconfirmed.withdraw(['a1', 'other'])).to.deep.equal(['a1']);
		expect(unconfirmed.withdraw(['a1'])).to.deep.equal([]);
		expect(listAttempts(unconfirmed.removeOverdue(1500))).to.deep.equal(['a2']);
	});

	// Guards against entries that pass the same report on to each other without end, and against a repetition that postpones the result.
	it('returns only crashes that it did not hold', () => {
		expect(listAttempts(unconfirmed.add([buildRecord('a1')], 0))).to.deep.equal(['a1']);
		expect(listAttempts(unconfirmed.add([buildRecord('a1', 'a2')], 1000))).to.deep.equal(['a2']);
		expect(unconfirmed.add([buildRecord('a1', 'a2')], 1100)).to.deep.equal([]);
		expect(listAttempts(unconfirmed.removeOverdue(1500))).to.deep.equal(['a1']);
	});

	// Guards against memory that grows with the number of lost attempts.
	it('holds a bounded number of crashes', () => {
		for (let index = 0; index < 3000; index++) {
			unconfirmed.add([buildRecord(`a${index}`)], 0);
		}

		expect(unconfirmed.size).to.equal(2048);
	});
});
