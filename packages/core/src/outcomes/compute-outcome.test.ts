import {expect} from 'chai';
import fc from 'fast-check';
import {attemptResults, type AttemptRecord} from '../types/index.js';
import {computeOutcome} from './compute-outcome.js';

const attempt = fc.record({
	attemptId: fc.string(),
	serverId: fc.string(),
	sentBytes: fc.boolean(),
	refusedByServer: fc.boolean(),
	passedOn: fc.boolean(),
	completed: fc.boolean(),
	result: fc.option(fc.constantFrom(...Object.values(attemptResults)), {nil: undefined}),
});

/** An attempt may have run once any byte was sent, unless the server reported that it did not start the request. */
const isPossiblyRun = (record: AttemptRecord): boolean => record.completed || record.passedOn || (record.sentBytes && !record.refusedByServer);

describe('computeOutcome', () => {
	// Guards against `not_run` for a request that may have run, and against any other outcome for one that did not.
	it('is not_run exactly if no attempt may have run', () => {
		fc.assert(fc.property(fc.array(attempt), fc.boolean(), (attempts, isIdempotent) => {
			const {kind} = computeOutcome(attempts, {isIdempotent});
			expect(kind === 'not_run').to.equal(!attempts.some(record => isPossiblyRun(record)));
			expect(kind === 'completed').to.equal(attempts.some(record => record.completed));
		}), {seed: 11, numRuns: 2000});
	});

	// Guards against `failed` for a non-idempotent request whose server crashed or became unreachable after the request was sent.
	it('is unknown if the end of an attempt of a non-idempotent request was not reported', () => {
		const sent = {
			attemptId: 'a', serverId: 's', sentBytes: true, refusedByServer: false, passedOn: false, completed: false,
		};
		expect(computeOutcome([{...sent, result: 'crashed'}]).kind).to.equal('unknown');
		expect(computeOutcome([sent]).kind).to.equal('unknown');
		expect(computeOutcome([{...sent, result: 'failed'}]).kind).to.equal('failed');
		expect(computeOutcome([{...sent, result: 'crashed'}], {isIdempotent: true}).kind).to.equal('failed');
	});
});
