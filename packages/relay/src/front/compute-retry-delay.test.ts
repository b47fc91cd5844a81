import {expect} from 'chai';
import {computeRetryDelayMs, type RefusedRequest} from './compute-retry-delay.js';

const refused: RefusedRequest = {
	reason: 'noServer', queue: undefined, isQuarantined: false, backoffMs: undefined, targetMs: 300, callerLeftMs: 9000, random: 0,
};

describe('computeRetryDelayMs', () => {
	it('spreads callers, and adds the target of the route when overloaded', () => {
		expect(computeRetryDelayMs(refused)).to.equal(150);
		expect(computeRetryDelayMs({...refused, random: 0.5})).to.equal(375);
		expect(computeRetryDelayMs({...refused, reason: 'overloaded'})).to.equal(450);
	});

	// Guards against callers that return at once with content that is refused for a day, or wait long while servers are only being checked.
	it('delays quarantined content as long as callers honour, and other content shortly', () => {
		expect(computeRetryDelayMs({...refused, reason: 'quarantined', isQuarantined: true})).to.equal(3000);
		expect(computeRetryDelayMs({...refused, reason: 'quarantined'})).to.equal(150);
	});

	// Guards against callers that return while all backend servers still back off, or all at once when the first of them is back.
	it('lets callers return after the first backend server, spread over time', () => {
		expect(computeRetryDelayMs({
			...refused, reason: 'serversBackingOff', backoffMs: 4000, callerLeftMs: 600,
		})).to.equal(4000);
		expect(computeRetryDelayMs({
			...refused, reason: 'serversBackingOff', backoffMs: 4000, random: 0.5,
		})).to.equal(4250);
	});

	it('never exceeds a third of the time that the caller has left, beyond the shortest delay', () => {
		expect(computeRetryDelayMs({...refused, reason: 'overloaded', callerLeftMs: 900})).to.equal(300);
		expect(computeRetryDelayMs({...refused, callerLeftMs: 30})).to.equal(150);
	});

	// Guards against a delay that ignores the queue, and against a queue that delays callers refused for another reason.
	it('follows the queue of a service whose requests differ in urgency', () => {
		const queue = {urgency: 0, drainMs: 1000};
		expect(computeRetryDelayMs({...refused, reason: 'deadlineUnreachable', queue})).to.equal(1150);
		expect(computeRetryDelayMs({...refused, reason: 'overloaded', queue: {...queue, drainMs: undefined}})).to.equal(450);
		expect(computeRetryDelayMs({...refused, reason: 'noServer', queue})).to.equal(150);
	});
});
