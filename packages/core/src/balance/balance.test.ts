import {expect} from 'chai';
import fc from 'fast-check';
import type {EngineProfile} from '../engine-model/engine-profile.js';
import {selectPlacement} from '../placement/select-placement.js';
import {noLoad} from '../placement/server-load.js';
import {BalanceWindow} from './balance-window.js';
import {
	computeHomeProbability, computeRequestShare, rankDomain, spreadCandidates, type DomainPlace, type ListedCandidate,
} from './spread-candidates.js';

const profile: EngineProfile = {
	slots: 8, memoryTokens: 450_000, stepMs: 0.925, stepMsPerSequence: 0.007, stepMsPerThousandTokens: 0.002_54, prefillTokensPerMs: 256,
	attentionMsPerMillionPairs: 0.0917, chunkTokens: 2048, stepsPerPass: 46, hopMs: 0.1, meanPromptTokens: 13_000, meanAnswerTokens: 1500,
};
const shortPrompt = {
	promptTokens: 5000, outputTokens: 1600, targetMs: 300, waitedMs: 0, deadlineMs: 10_000, hasBegun: false,
};

/** Random numbers of a fixed seed from 0 to 1. */
const createRandom = (seed: number): (() => number) => {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
};

const buildCandidates = (requests: readonly number[], random: () => number): ListedCandidate[] => requests.map((count, listIndex) => ({
	id: `s${listIndex}`, listIndex, penaltyMs: 0, orderShift: random(),
	load: {
		...noLoad, requests: count, decodingRequests: count, contextTokens: count * 5000, memoryTokens: count * 6600,
	},
}));

const listRanks = (listIndex: number, count: number): number[] => Array.from({length: count}, (_, index) => rankDomain(listIndex, {index, count}));

const countHomeServers = (place: DomainPlace): number =>
	Array.from({length: place.servers}, (_, listIndex) => rankDomain(listIndex, place)).filter(rank => rank === 0).length;

describe('balance', () => {
	describe('home servers', () => {
		// Guards against a server that two domains fill to its last slot from figures that do not show each other's requests.
		it('gives each server an order in which every domain has one place', () => {
			fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.nat(400), (count, listIndex) => {
				const ranks = listRanks(listIndex, count);
				expect(new Set(ranks).size).to.equal(count);
				expect(Math.min(...ranks)).to.equal(0);
			}), {seed: 1, numRuns: 200});
		});

		// Guards against a busy failure domain that overloads its home servers while those of the others are idle.
		it('sends at most 1.25 times an equal share to home servers by preference', () => {
			const places = fc.record({
				index: fc.nat(11), count: fc.constant(12), servers: fc.integer({min: 1, max: 100}), requestShare: fc.double({min: 0, max: 1, noNaN: true}),
			});
			fc.assert(fc.property(places, place => {
				const probability = computeHomeProbability(place);
				const homeServers = countHomeServers(place);
				expect(probability).to.be.within(0, 1);
				expect(probability * place.requestShare).to.be.at.most((1.25 * homeServers / place.servers) + 0.0001);
			}), {seed: 1, numRuns: 200});
			expect(computeRequestShare(4, {requests: 0, agedRequests: 0})).to.equal(0.25);
			expect(computeRequestShare(4, {requests: 10, agedRequests: 4})).to.equal(0.6);
		});

		// Guards against engines with few slots of which some domains never use the only one.
		it('spares no slots on engines with fewer than four', () => {
			for (const slots of [1, 2, 3]) {
				const spread = spreadCandidates({...profile, slots}, buildCandidates([0, 0, 0], () => 0.5), {
					place: {
						index: 0, count: 3, requestShare: 0.3, servers: 3,
					}, random: () => 0,
				});
				expect(spread.map(({sparedSlots}) => sparedSlots)).to.deep.equal([0, 0, 0]);
			}
		});

		// Guards against requests that wait although a server has a free slot, because that slot is left to another domain.
		it('uses spared slots when no other slot is free', () => {
			const candidates = buildCandidates([8, 7, 8], () => 0.5);
			for (const index of [0, 1, 2]) {
				const spread = spreadCandidates(profile, candidates, {
					place: {
						index, count: 3, requestShare: 0.3, servers: 3,
					}, random: () => 0,
				});
				expect(selectPlacement(profile, spread, shortPrompt)).to.have.nested.property('placement.serverId', 's1');
			}
		});

		// Guards against entries that crowd servers which old figures show with few requests: no server of those with room may get more than
		// 2.25 times (plus the scatter of 450 draws) its share in expectation, whatever the figures say and however the requests are distributed over the domains.
		it('bounds the share of each server with figures of any age', () => {
			const figures = fc.array(fc.array(fc.integer({min: 0, max: 5}), {minLength: 24, maxLength: 24}), {minLength: 3, maxLength: 3});
			const shares = fc.tuple(fc.integer({min: 1, max: 10}), fc.integer({min: 1, max: 10}), fc.integer({min: 1, max: 10}));
			fc.assert(fc.property(figures, shares, fc.integer({min: 1, max: 10_000}), (loads, weights, seed) => {
				const random = createRandom(seed);
				const total = weights[0] + weights[1] + weights[2];
				const sums = new Map<string, number>();
				const draws = 150;
				for (const [index, requests] of loads.entries()) {
					const place = {
						index, count: 3, requestShare: weights[index]! / total, servers: 24,
					};
					for (let draw = 0; draw < draws; draw++) {
						const decision = selectPlacement(profile, spreadCandidates(profile, buildCandidates(requests, random), {place, random}), shortPrompt);
						const id = decision.type === 'place' ? decision.placement.serverId : '';
						sums.set(id, (sums.get(id) ?? 0) + (place.requestShare / draws));
					}
				}

				expect(Math.max(...sums.values()) * 24).to.be.below(2.25 * 1.6);
			}), {seed: 7, numRuns: 10});
		});
	});

	describe('BalanceWindow', () => {
		// Guards against a gauge that shows the balance of an earlier hour, or leaves out servers without requests.
		it('compares the busiest server to the mean of the last 10 s', () => {
			const window = new BalanceWindow();
			expect(window.computeBusiestToMean(0)).to.equal(0);
			expect(window.isDue(0)).to.equal(true);
			window.record(new Map([['a', 6], ['b', 0]]), 0);
			expect(window.isDue(999)).to.equal(false);
			expect(window.isDue(1000)).to.equal(true);
			window.record(new Map([['a', 0], ['b', 1], ['c', 0]]), 5000);
			expect(window.computeBusiestToMean(9000)).to.be.closeTo(6 * 3 / 7, 0.001);
			expect(window.computeBusiestToMean(14_000)).to.equal(3);
			expect(window.computeBusiestToMean(30_000)).to.equal(0);
		});
	});
});
