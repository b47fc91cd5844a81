import {expect} from 'chai';
import {ColdArrivalGate} from './cold-arrival-gate.js';
import {ColdShareTable} from './cold-share.js';

describe('ColdArrivalGate', () => {
	// Guards against entries that together overload a cold backend server.
	it('keeps the arrivals from all entries within the limit of the server in any second', () => {
		const share = new ColdShareTable().computeShare('cold', {requestsPerSecond: 36, entryId: 'entry-0', entryIds: Array.from({length: 8}, (_, index) => `entry-${index}`)});
		const gates = Array.from({length: 8}, () => new ColdArrivalGate());
		const arrivals: number[] = [];
		for (let now = 0; now < 4000; now += 7) {
			for (const gate of gates) {
				if (gate.tryConsume('cold', now, share)) {
					arrivals.push(now);
				}
			}
		}

		for (const end of arrivals) {
			expect(arrivals.filter(time => time <= end && time > end - 1000).length).to.be.at.most(36);
		}
	});

	it('counts each server separately', () => {
		const gate = new ColdArrivalGate();
		expect(gate.tryConsume('a', 0, 1)).to.equal(true);
		expect(gate.tryConsume('a', 0, 1)).to.equal(false);
		expect(gate.tryConsume('b', 0, 1)).to.equal(true);
	});
});
