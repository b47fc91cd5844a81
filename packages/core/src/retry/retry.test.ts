import {expect} from 'chai';
import type {AttemptRecord} from '../types/index.js';
import {decideRetry, type RetryInput} from './decide-retry.js';
import {RetryBudget} from './retry-budget.js';

const createAttempt = (fields: Partial<AttemptRecord>): AttemptRecord => ({
	attemptId: 'a', serverId: 's', sentBytes: true, refusedByServer: false, passedOn: false, completed: false, ...fields,
});

const decide = (attempt: Partial<AttemptRecord>, fields: Partial<RetryInput> = {}) => decideRetry({
	attempts: [createAttempt(attempt)], isIdempotent: true, now: 0, deadlineAt: 10_000, expectedAttemptMs: 1000, hasBudget: true, candidatesLeft: 2, ...fields,
});

describe('decideRetry', () => {
	// Guards against a non-idempotent request that runs twice.
	it('never retries a non-idempotent request of which an attempt may have started', () => {
		expect(decide({reason: 'backend_failed'}, {isIdempotent: false})).to.deep.equal({type: 'give_up', reason: 'backend_failed'});
		const attempts = [createAttempt({}), createAttempt({sentBytes: false, reason: 'queue_full'})];
		expect(decide({}, {isIdempotent: false, attempts})).to.include({type: 'give_up'});
		expect(decide({refusedByServer: true}, {isIdempotent: false})).to.deep.equal({type: 'retry', reason: 'backend_refused'});
		expect(decide({sentBytes: false}, {isIdempotent: false})).to.deep.equal({type: 'retry', reason: 'connect_failed'});
	});

	// Guards against an answer that is made up of parts of two attempts.
	it('never retries once a part of the answer was passed on', () => {
		expect(decide({passedOn: true, reason: 'stream_incomplete'})).to.deep.equal({type: 'give_up', reason: 'stream_incomplete'});
	});

	// Guards against useless attempts: each condition alone forbids the retry and gives its own reason.
	it('gives up without time, servers, budget or caller', () => {
		expect(decide({}, {now: 9500})).to.deep.equal({type: 'give_up', reason: 'deadline_exceeded'});
		expect(decide({sentBytes: false, reason: 'queue_full'}, {now: 9500})).to.deep.equal({type: 'give_up', reason: 'deadline_unreachable'});
		expect(decide({}, {candidatesLeft: 0})).to.deep.equal({type: 'give_up', reason: 'backend_failed'});
		expect(decide({}, {hasBudget: false})).to.deep.equal({type: 'give_up', reason: 'retry_budget_exhausted'});
		expect(decide({}, {isCallerGone: true})).to.deep.equal({type: 'give_up', reason: 'caller_gone'});
		expect(decide({}, {attemptLimit: 1})).to.deep.equal({type: 'give_up', reason: 'backend_failed'});
		expect(decide({reason: 'bad_request'})).to.deep.equal({type: 'give_up', reason: 'bad_request'});
	});

	// Guards against retries that are counted under the wrong reason.
	it('gives the reason of each retry', () => {
		expect(decide({reason: 'stream_corrupt'})).to.include({reason: 'stream_corrupt'});
		expect(decide({})).to.include({reason: 'backend_failed'});
		expect(decide({sentBytes: false, reason: 'queue_full'})).to.include({reason: 'permit_refused'});
		expect(decide({sentBytes: false, reason: 'owner_unreachable'})).to.include({reason: 'owner_unreachable'});
		expect(decide({sentBytes: false, reason: 'ownership_disputed'})).to.include({reason: 'ownership_changed'});
		// The memory of a server may be unknown until the server refuses; another server or a group may still hold the prompt.
		expect(decide({sentBytes: false, reason: 'prompt_too_long'})).to.deep.equal({type: 'retry', reason: 'permit_refused'});
		expect(decide({sentBytes: false, reason: 'prompt_too_long'}, {candidatesLeft: 0})).to.deep.equal({type: 'give_up', reason: 'prompt_too_long'});
		expect(decide({completed: true})).to.deep.equal({type: 'finish'});
	});
});

describe('RetryBudget', () => {
	// Guards against retries that multiply the load during an outage.
	it('allows a share of the successes of the last window', () => {
		const budget = new RetryBudget({share: 0.1, minRetries: 1, windowMs: 10_000});
		for (let index = 0; index < 100; index++) {
			budget.recordSuccess(index * 10);
		}

		const countRetries = (now: number) => Array.from({length: 50}, () => budget.tryConsume(now)).filter(Boolean).length;
		expect(countRetries(2000)).to.equal(11);
		expect(countRetries(9000)).to.equal(0);
		expect(countRetries(13_000)).to.equal(1);
	});
});
