import {expect} from 'chai';
import fc from 'fast-check';
import {
	computeNeededServers, computeReservedServers, computeStaticShare, decideYield, type WaitingDemand,
} from './room-sharing.js';
import {mergeDemands, WaitingReports} from './waiting-reports.js';
import {computeWaitingRetryDelayMs} from './waiting-retry-delay.js';

const buildDemand = (urgency: number, requests: number, service = 's'): WaitingDemand => ({
	service, urgency, requests, cost: requests * 100,
});
const request = {
	urgency: 1, hasBegun: false, waitedMs: 0, targetMs: 1000,
};

describe('rules for waiting requests', () => {
	describe('decideYield', () => {
		// Guards against room that is left to nobody, and against the rest of an answer that waits for new requests.
		it('leaves room to more urgent requests only, and none when the answer has begun', () => {
			expect(decideYield(request, [buildDemand(1, 5), buildDemand(2, 5)])).to.equal('none');
			expect(decideYield(request, [buildDemand(0, 1)])).to.equal('full');
			expect(decideYield({...request, hasBegun: true}, [buildDemand(0, 1)])).to.equal('none');
		});

		// Guards against less urgent requests that starve.
		it('leaves all room for a fifth of the target, then a part', () => {
			expect(decideYield({...request, waitedMs: 199}, [buildDemand(0, 1)])).to.equal('full');
			expect(decideYield({...request, waitedMs: 200}, [buildDemand(0, 1)])).to.equal('part');
		});
	});

	describe('computeReservedServers', () => {
		// Guards against a reserve that leaves less urgent requests no server, or fewer than they need.
		it('keeps a quarter of the servers, and those that the request needs, open to it', () => {
			fc.assert(fc.property(fc.nat(1000), fc.integer({min: 1, max: 400}), fc.integer({min: 1, max: 64}), fc.integer({min: 1, max: 20}), (requests, servers, slots, neededServers) => {
				const reserved = computeReservedServers(1, [buildDemand(0, requests)], {servers, slots, neededServers});
				expect(servers - reserved).to.be.at.least(Math.min(servers, Math.max(neededServers, Math.ceil(servers / 4))));
				expect(reserved).to.be.at.least(0);
			}), {seed: 3, numRuns: 200});
		});
	});

	// Guards against prompts that are kept from the servers which they need for their memory or their target.
	it('counts the servers that a prompt needs', () => {
		const profile = {
			slots: 8, memoryTokens: 100_000, stepMs: 1, stepMsPerSequence: 0, stepMsPerThousandTokens: 0, prefillTokensPerMs: 100, attentionMsPerMillionPairs: 0,
			chunkTokens: 2048, stepsPerPass: 50, hopMs: 0, meanPromptTokens: 1000, meanAnswerTokens: 100,
		};
		expect(computeNeededServers(profile, {promptTokens: 1000, outputTokens: 10, targetMs: 1000})).to.equal(1);
		expect(computeNeededServers(profile, {promptTokens: 100_000, outputTokens: 0, targetMs: 1000})).to.equal(3);
		expect(computeNeededServers(profile, {promptTokens: 300_000, outputTokens: 10, targetMs: 100_000})).to.equal(4);
	});

	// Guards against an entry that makes no progress in a fleet with fewer slots than entries.
	it('gives each entry at least one slot without reports', () => {
		expect(computeStaticShare(624, 77)).to.equal(8);
		expect(computeStaticShare(18, 77)).to.equal(1);
	});

	describe('computeWaitingRetryDelayMs', () => {
		// Guards against callers that give up before they return.
		it('never exceeds a third of the time that the caller has left', () => {
			fc.assert(fc.property(fc.nat(60_000), fc.nat(9), fc.nat(20_000), fc.double({
				min: 0, max: 1, maxExcluded: true, noNaN: true,
			}), (drainMs, urgency, callerLeftMs, random) => {
				expect(computeWaitingRetryDelayMs({
					drainMs, targetMs: 300, urgency, callerLeftMs, random,
				})).to.be.within(0, callerLeftMs / 3);
			}), {seed: 3, numRuns: 200});
		});

		// Guards against callers that return as a wave, and less urgent ones that return before the more urgent.
		it('spreads callers over the time in which the queue drains, more urgent ones sooner', () => {
			const compute = (urgency: number, random: number): number => computeWaitingRetryDelayMs({
				drainMs: 1000, targetMs: 300, urgency, callerLeftMs: 60_000, random,
			});
			expect([compute(0, 0), compute(0, 1), compute(2, 0.5), compute(2, 1)]).to.deep.equal([1150, 2400, 2025, 2900]);
			expect(compute(0, 0.5)).to.be.below(compute(2, 0.5));
		});
	});

	describe('WaitingReports', () => {
		// Guards against room that is left to requests of which nobody has heard for long.
		it('counts a report for 1.5 s, the latest of each source', () => {
			const reports = new WaitingReports();
			expect(reports.hasFresh(0)).to.equal(false);
			reports.record('a', [buildDemand(0, 1)], 0);
			reports.record('a', [buildDemand(0, 2)], 100);
			reports.record('b', [buildDemand(1, 1)], 200);
			expect(reports.list(200, source => source === 'a')).to.deep.equal([buildDemand(0, 2)]);
			expect(reports.list(1601)).to.deep.equal([buildDemand(1, 1)]);
			expect(reports.hasFresh(1700)).to.equal(true);
			expect(reports.hasFresh(1701)).to.equal(false);
		});

		it('adds up demands of the same service and urgency', () => {
			expect(mergeDemands([buildDemand(0, 1), buildDemand(1, 1), buildDemand(0, 2), buildDemand(0, 1, 't')]))
				.to.deep.equal([buildDemand(0, 3), buildDemand(1, 1), buildDemand(0, 1, 't')]);
		});
	});
});
