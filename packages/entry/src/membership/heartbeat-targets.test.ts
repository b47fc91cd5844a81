import {expect} from 'chai';
import xxhash from 'xxhash-wasm';
import {selectHeartbeatTargets} from './heartbeat-targets.js';

const {h32} = await xxhash();
const hash = (text: string) => h32(text);

const buildPlans = (count: number) => {
	const ids = Array.from({length: count}, (_, index) => `entry-${index}`);
	return new Map(ids.map(id => [id, selectHeartbeatTargets(id, ids.filter(other => other !== id), hash)]));
};

const countContacts = (plans: ReturnType<typeof buildPlans>): number[] => [...plans].map(([id, {targets}]) =>
	new Set([...targets, ...[...plans].filter(([, plan]) => plan.targets.includes(id)).map(([other]) => other)]).size);

describe('selectHeartbeatTargets', () => {
	// In an outage of the object API, an owner may continue only while it exchanges heartbeats with every entry that could take over.
	it('connects each pair of a small fleet, initiated by one side', () => {
		const plans = buildPlans(9);
		expect(countContacts(plans)).to.deep.equal(Array.from({length: 9}, () => 8));
		expect([...plans.values()].reduce((sum, {targets}) => sum + targets.length, 0)).to.equal(36);
	});

	// A full mesh of 350 entries would take a hundred times the traffic budget.
	it('bounds the contacts of a large fleet', () => {
		const contacts = countContacts(buildPlans(350));
		expect(Math.max(...contacts)).to.be.at.most(8);
		expect(Math.min(...contacts)).to.be.at.least(4);
	});

	// A revision must reach every entry over heartbeats alone when watches are cut.
	it('connects all entries of a large fleet', () => {
		const plans = buildPlans(350);
		const reached = new Set(['entry-0']);
		for (const id of reached) {
			for (const target of plans.get(id)!.targets) {
				reached.add(target);
			}
		}

		expect(reached.size).to.equal(350);
	});
});
