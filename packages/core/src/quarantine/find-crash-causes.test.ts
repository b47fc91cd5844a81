import {expect} from 'chai';
import {decideContent, contentDecisions} from './decide-content.js';
import {findCrashCauses, type CrashCause, type FingerprintCrashes} from './find-crash-causes.js';

/** Builds a record with one crash on each server; the chain grows with each. */
const buildRecord = (fingerprint: string, servers: readonly number[]): FingerprintCrashes => ({
	fingerprint, crashes: servers.map((server, index) => ({
		attemptId: `${fingerprint}/${server}`, serverId: `s${server}`, bootId: 'b', companions: [], chainLength: index + 1,
	})),
});

/** Builds a record whose crashes happened at the same time. */
const buildSimultaneousRecord = (fingerprint: string, servers: readonly number[]): FingerprintCrashes => {
	const {crashes} = buildRecord(fingerprint, servers);
	return {fingerprint, crashes: crashes.map(crash => ({...crash, chainLength: 1}))};
};

const summarize = (causes: readonly CrashCause[]): Array<{fingerprints: string[]; chainLength: number}> =>
	causes.map(({candidates, chainLength}) => ({fingerprints: candidates.map(({fingerprint}) => fingerprint), chainLength}));

describe('findCrashCauses', () => {
	it('finds no cause in crashes on two servers', () => {
		expect(findCrashCauses([buildRecord('x', [1, 2])])).to.deep.equal([]);
	});

	// Guards against refusing requests and parts that were lost beside the one that ended their servers.
	it('explains the crashes of others by the fingerprint with the most servers', () => {
		const causes = findCrashCauses([buildRecord('beside', [1, 3, 4]), buildRecord('bad', [1, 2, 3, 4, 5]), buildRecord('partly', [2, 4, 9, 10])]);
		expect(summarize(causes)).to.deep.equal([{fingerprints: ['bad'], chainLength: 5}]);
	});

	it('finds several causes of different servers', () => {
		const causes = findCrashCauses([buildRecord('a', [1, 2, 3, 4]), buildRecord('b', [5, 6, 7]), buildRecord('beside', [1, 2, 5, 6])]);
		expect(summarize(causes).map(({fingerprints}) => fingerprints)).to.deep.equal([['a'], ['b']]);
	});

	it('names all fingerprints that came together in the same crashes', () => {
		expect(summarize(findCrashCauses([buildRecord('a', [1, 2, 3]), buildRecord('b', [1, 2, 3])]))).to.deep.equal([{fingerprints: ['a', 'b'], chainLength: 3}]);
	});

	// Guards against a wrong cause because one entry missed a crash or counted one that had another reason.
	it('names the fingerprints that came in most of the crashes', () => {
		const causes = findCrashCauses([buildRecord('a', [1, 2, 3, 4, 5, 6]), buildRecord('b', [1, 2, 3, 4, 9]), buildRecord('beside', [1, 2, 3])]);
		expect(summarize(causes)).to.deep.equal([{fingerprints: ['a', 'b'], chainLength: 6}]);
	});

	// Guards against a chain that is counted from crashes which another fingerprint explains.
	it('counts the chain from the first crash that is left', () => {
		const [, second] = summarize(findCrashCauses([buildRecord('a', [1, 2, 3, 4, 5, 6, 7]), {
			fingerprint: 'b', crashes: [...buildRecord('b', [1, 2, 3]).crashes, ...[7, 8, 9, 10].map(server => ({
				attemptId: `b/${server}`, serverId: `s${server}`, bootId: 'b', companions: [], chainLength: 4,
			}))],
		}]));
		expect(second).to.deep.equal({fingerprints: ['b'], chainLength: 1});
	});

	it('does not depend on the order of the records', () => {
		const records = [buildRecord('a', [1, 2, 3, 4]), buildRecord('b', [1, 2, 3, 5]), buildRecord('c', [2, 3, 4, 5, 6])];
		expect(findCrashCauses(records.toReversed())).to.deep.equal(findCrashCauses(records));
	});
});

describe('decideContent', () => {
	const causes = findCrashCauses([buildRecord('first', [1, 2, 3]), buildRecord('bad', [1, 2, 3])]);

	it('refuses a request with all fingerprints of a cause', () => {
		expect(decideContent(['content', 'first', 'bad'], causes)).to.equal(contentDecisions.refuse);
	});

	// Guards against refusing for a day a part that came together with the one that ends servers.
	it('tries a request with some fingerprints of a cause', () => {
		expect(decideContent(['content', 'first'], causes)).to.equal(contentDecisions.trial);
		expect(decideContent(['content', 'other'], causes)).to.equal(contentDecisions.run);
	});

	// Guards against refusing for a day a part whose first trial was lost with a server that ended for another reason.
	it('tries a request until two servers ended under it without the other candidate', () => {
		const decide = (servers: number[]) => decideContent(['content', 'first'], findCrashCauses([buildRecord('first', servers), buildRecord('bad', [1, 2, 3])]));
		expect(decide([1, 2, 3, 4])).to.equal(contentDecisions.trial);
		expect(decide([1, 2, 3, 4, 5])).to.equal(contentDecisions.refuse);
	});

	it('refuses a request that has only the candidate which came in all crashes', () => {
		const ambiguous = findCrashCauses([buildRecord('bad', [1, 2, 3, 4, 5, 6]), buildRecord('often', [1, 2, 3, 4])]);
		expect(decideContent(['bad', 'other'], ambiguous)).to.equal(contentDecisions.refuse);
		expect(decideContent(['often', 'other'], ambiguous)).to.equal(contentDecisions.trial);
	});

	it('tries a request whose crashes happened at the same time', () => {
		expect(decideContent(['x'], findCrashCauses([buildSimultaneousRecord('x', [1, 2, 3, 4])]))).to.equal(contentDecisions.trial);
	});
});
