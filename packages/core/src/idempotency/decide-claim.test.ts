import {expect} from 'chai';
import fc from 'fast-check';
import type {ClaimRecord} from '../types/claim.js';
import {decideClaim, type ClaimAttempt, type ClaimPhase} from './decide-claim.js';

/** An attempt that follows the decisions, with conditional writes to one stored claim. */
class Runner {
	phase: ClaimPhase = 'claiming';
	isEnded = false;
	hasSent = false;
	answer: string | undefined;

	constructor(readonly id: string) {}

	buildAttempt(bodyDigest: string, isHolderGone: boolean): ClaimAttempt {
		return {
			workspaceId: 'w', bodyDigest, nonce: this.id, entryId: this.id, epoch: '1', phase: this.phase, wallNow: 0,
			outcome: {kind: 'completed', body: this.id}, isHolderGone,
		};
	}
}

describe('decideClaim', () => {
	const base: ClaimAttempt = {
		workspaceId: 'w', bodyDigest: 'b', nonce: 'n1', entryId: 'e1', epoch: '1', phase: 'claiming', wallNow: 5, isHolderGone: false,
	};
	const foreign: ClaimRecord = {
		workspaceId: 'w', bodyDigest: 'b', nonce: 'n2', entryId: 'e2', epoch: '1', state: 'claimed', createdAt: 1,
	};

	// Guards against a non-idempotent request that is sent twice, and against `not_run` for one that may have been sent.
	it('decides each state of a claim of another attempt', () => {
		expect(decideClaim(undefined, base).type).to.equal('create');
		expect(decideClaim({...foreign, bodyDigest: 'other'}, base)).to.include({type: 'refuse', outcome: 'not_run', reason: 'idempotency_key_reused'});
		expect(decideClaim(foreign, base)).to.include({type: 'refuse', outcome: 'unknown', reason: 'claim_in_progress'});
		expect(decideClaim({...foreign, state: 'dispatched'}, base)).to.include({type: 'refuse', outcome: 'unknown', reason: 'claim_in_progress'});
		expect(decideClaim(foreign, {...base, isHolderGone: true}).type).to.equal('replace');
		expect(decideClaim({...foreign, state: 'dispatched'}, {...base, isHolderGone: true}))
			.to.include({type: 'refuse', outcome: 'unknown', reason: 'claim_outcome_unknown'});
		const finished: ClaimRecord = {...foreign, state: 'finished', outcome: {kind: 'completed', body: 'x'}};
		expect(decideClaim(finished, base)).to.deep.equal({type: 'answer', outcome: {kind: 'completed', body: 'x'}});
		expect(decideClaim({...finished, outcome: {kind: 'not_run'}}, base).type).to.equal('replace');
	});

	// Guards against two executions of a request. Replies and writes get lost, attempts crash at any step, a live holder can count
	// as gone, and the steps of the attempts interleave in any order.
	it('sends the request at most once per key', () => {
		const step = fc.record({runner: fc.nat(3), fault: fc.constantFrom('none', 'none', 'lostReply', 'lostWrite', 'crash')});
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), fc.boolean(), (steps, treatsHoldersAsGone) => {
			let stored: {version: number; record: ClaimRecord} | undefined;
			const runners = ['r0', 'r1', 'r2', 'r3'].map(id => new Runner(id));
			const ended = new Set<string>();
			const seen = new Map<Runner, typeof stored>();
			for (const {runner: index, fault} of steps) {
				const runner = runners[index]!;
				if (runner.isEnded) {
					continue;
				}

				// A runner uses the claim read in its previous step, so other runners can write in between.
				const read = seen.has(runner) ? seen.get(runner) : stored;
				const isHolderGone = treatsHoldersAsGone || ended.has(read?.record.entryId ?? '');
				const decision = decideClaim(read?.record, runner.buildAttempt('b', isHolderGone));
				if ('record' in decision) {
					const isCurrent = (stored?.version ?? 0) === (read?.version ?? 0) && fault !== 'lostWrite';
					stored = isCurrent ? {version: (stored?.version ?? 0) + 1, record: decision.record} : stored;
					runner.phase = decision.type === 'mark' ? 'marking' : runner.phase;
				} else if (decision.type === 'dispatch') {
					runner.hasSent = true;
					runner.phase = 'finishing';
				} else {
					runner.isEnded = true;
					runner.answer = decision.type === 'refuse' ? decision.outcome : decision.type;
				}

				runner.isEnded ||= fault === 'crash';
				if (runner.isEnded) {
					ended.add(runner.id);
				}

				seen.set(runner, stored);
			}

			const sent = runners.filter(runner => runner.hasSent);
			expect(sent.length).to.be.at.most(1);
			expect(sent.every(runner => runner.answer !== 'not_run')).to.equal(true);
		}), {seed: 15, numRuns: 5000});
	});
});
