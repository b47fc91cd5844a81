import {expect} from 'chai';
import {PeerStates} from './peer-states.js';

const state = {
	entryId: 'a', bootId: 'boot-1', isReady: true, isStopping: false, isCutOff: false, callerAddress: '127.0.0.1:1', version: 3,
};

describe('peer states', () => {
	let now = 0;
	let states = new PeerStates(() => now);

	beforeEach(() => {
		now = 10_000;
		states = new PeerStates(() => now);
		states.applyRegistered(['a', 'b']);
	});

	it('distinguishes changed, known, stale and restarted states', () => {
		expect(states.record(state, 1)).to.equal('changed');
		expect(states.record(state, 2)).to.equal('known');
		expect(states.record(state, 2)).to.equal('stale');
		expect(states.record({...state, isReady: false}, 3)).to.equal('changed');
		expect(states.record({...state, bootId: 'boot-2'}, 1)).to.equal('restarted');
		expect(states.record({...state, bootId: 'boot-2'}, 2)).to.equal('known');
	});

	// Guards against callers that are sent to silent or stopping entries.
	it('counts an entry as running until it is silent or stopping', () => {
		expect(states.isRunning('b')).to.equal(true);
		now += 2600;
		expect(states.isRunning('b')).to.equal(false);
		states.record(state, 1);
		expect(states.isServing('a')).to.equal(true);
		states.record({...state, isStopping: true}, 2);
		expect(states.isRunning('a')).to.equal(false);
	});

	// Guards against a summary that keeps a crashed entry listed: its age counts from the last message that the collector received.
	it('adds the age stated in summaries', () => {
		states.setCollected(new Set(['a']));
		states.recordCollected(state, 3000);
		expect(states.isServing('a')).to.equal(true);
		now += 1100;
		expect(states.recordCollected(state, 4100)).to.equal('stale');
		expect(states.isRunning('a')).to.equal(false);
		expect(states.computeSilenceMs('a')).to.equal(4100);
	});

	it('removes entries that the store no longer lists', () => {
		states.record(state, 1);
		expect(states.applyRegistered(['b'])).to.deep.equal(['a']);
		expect(states.listServingAddresses()).to.deep.equal([]);
	});
});
