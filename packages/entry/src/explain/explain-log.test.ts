import {expect} from 'chai';
import {createExplainLog} from './explain-log.js';

describe('createExplainLog', () => {
	// Without limits, the log of a busy entry would exceed its memory.
	it('drops the oldest request and later steps at the limits', () => {
		const log = createExplainLog(2);
		for (const requestId of ['a', 'b', 'c']) {
			for (let index = 0; index < 100; index++) {
				log.record(requestId, {step: 'permit', detail: {index}});
			}
		}

		expect(log.get('a')).to.equal(undefined);
		expect(log.get('c')).to.have.length(64);
	});
});
