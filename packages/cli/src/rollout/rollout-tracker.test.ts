import {expect} from 'chai';
import type {SessionRecord} from '@knapweedrack/core';
import {RolloutTracker, sessionLapseMs} from './rollout-tracker.js';

const createSession = (entryId: string, version: number, configurationRevision: number) => {
	const record: SessionRecord = {
		entryId, epoch: 'e', callerAddress: 'c', peerAddress: 'p', failureDomain: 'kochi', region: 'r', state: 'serving',
		configurationRevision, availabilityRevision: 0, renewal: version,
	};
	return {version, record};
};

describe('RolloutTracker', () => {
	it('reports each entry once and is done when all have the revision', () => {
		const tracker = new RolloutTracker('configurationRevision', 4, 0);
		expect(tracker.isDone(0)).to.be.false;
		expect(tracker.acceptSessions([createSession('a', 1, 4), createSession('b', 2, 3)], 100)).to.have.length(1);
		expect(tracker.isDone(100)).to.be.false;
		expect(tracker.acceptSessions([createSession('a', 3, 4), createSession('b', 4, 5)], 200).map(({entryId, afterMs}) => [entryId, afterMs])).to.deep.equal([['b', 200]]);
		expect(tracker.isDone(200)).to.be.true;
	});

	// The session object of a crashed entry stays in the store; waiting for that entry would never end.
	it('leaves out an entry whose session is not renewed or is deleted', () => {
		const tracker = new RolloutTracker('configurationRevision', 4, 0);
		tracker.acceptSessions([createSession('dead', 1, 3), createSession('deleted', 2, 3), createSession('renewed', 3, 3)], 0);
		tracker.acceptSessions([createSession('dead', 1, 3), createSession('renewed', 4, 3)], sessionLapseMs);
		expect(tracker.listEntries(sessionLapseMs + 1).map(({entryId, state}) => [entryId, state])).to.deep.equal([['dead', 'lapsed'], ['renewed', 'waiting']]);
		tracker.acceptStatus('renewed', 4, sessionLapseMs + 1);
		expect(tracker.isDone(sessionLapseMs + 1)).to.be.true;
	});
});
