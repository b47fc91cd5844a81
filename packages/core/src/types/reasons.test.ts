import {expect} from 'chai';
import {refusalReasons, retryReasons} from './reasons.js';

describe('reasons', () => {
	// Guards against a value that is used for two reasons: their counters would be merged and one cause hidden.
	describe('refusalReasons', () => {
		it('has a distinct value for each reason', () => {
			const values = Object.values(refusalReasons);
			expect(new Set(values).size).to.equal(values.length);
		});
	});

	describe('retryReasons', () => {
		it('has a distinct value for each reason', () => {
			const values = Object.values(retryReasons);
			expect(new Set(values).size).to.equal(values.length);
		});
	});
});
