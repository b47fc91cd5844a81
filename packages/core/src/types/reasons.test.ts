import {expect} from 'chai';
import {refusalReasons, retryReasons} from './reasons.js';

describe('reasons', () => {
	// A reason used twice would merge two counters and hide one cause behind another.
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
