import {expect} from 'chai';
import fc from 'fast-check';
import {
	noLoad, type EngineProfile, type Service,
} from '@knapweedrack/core';
import type {KnownServer} from '../store-state/store-state-task.js';
import {
	PlacementTask, type PlacedRequest, type PlacementDemand, type PlacementOptions,
} from './placement-task.js';

/** Engines of which memory, and not slots or time, is scarce. */
const engine: EngineProfile = {
	slots: 40, memoryTokens: 40_000, stepMs: 0.925, stepMsPerSequence: 0.007, stepMsPerThousandTokens: 0.002_54, prefillTokensPerMs: 256,
	attentionMsPerMillionPairs: 0.0917, chunkTokens: 2048, stepsPerPass: 46, hopMs: 0.1, meanPromptTokens: 13_000, meanAnswerTokens: 1500,
};
const service: Service = {
	name: 'engines', maxConnections: 100, coldRequestsPerSecond: 0, engine, longestDelayMs: 1, healthPath: undefined,
};
const servers = Array.from({length: 4}, (_, index): KnownServer => ({
	id: `e${index}`, service: service.name, address: `10.0.0.${index}:80`, failureDomain: 'north', slots: engine.slots, isDraining: false,
	coldForMs: 0, bootId: undefined, coldUntil: 0, usableUntil: undefined,
}));

describe('memory of backend servers', () => {
	let now: number;

	const createTask = (): PlacementTask => new PlacementTask({
		serverLimits: {hasRoom: () => true, isLimited: () => false, consume: () => undefined},
		serverNotices: {getHold: () => undefined, isUnconfirmed: () => false, recordSent: () => undefined},
		storeState: {listUsableServers: () => servers} as unknown as PlacementOptions['storeState'],
		timer: {now: () => now, subscribe: () => () => undefined, schedule: () => () => undefined},
		failureDomain: 'north', random: () => 0.5, listSummaryDomains: () => [], entryId: 'entry-1', listEntryIds: () => ['entry-1'], notifyLoad: () => undefined,
		metrics: {addLabelledGauge: () => undefined, countCollision: () => undefined, recordLoadAge: () => undefined},
	});

	const demand = fc.record({
		promptTokens: fc.integer({min: 1, max: 60_000}), outputTokens: fc.nat(8000), targetMs: fc.constantFrom(300, 3000),
		waitedMs: fc.constantFrom(0, 400, 3000, 20_000), deadlineMs: fc.constantFrom(500, 15_000), hasBegun: fc.boolean(), pauseTargetMs: fc.constantFrom(undefined, 200),
	}) satisfies fc.Arbitrary<PlacementDemand>;
	const event = fc.oneof(
		{weight: 6, arbitrary: fc.record({type: fc.constant('place'), demand, excluded: fc.subarray(servers.map(({id}) => id))})},
		{weight: 2, arbitrary: fc.record({type: fc.constant('release'), index: fc.nat(20)})},
		{weight: 2, arbitrary: fc.record({type: fc.constant('decode'), index: fc.nat(20)})},
		{weight: 2, arbitrary: fc.record({type: fc.constant('report'), server: fc.constantFrom(...servers), memoryTokens: fc.nat(45_000)})},
	) as fc.Arbitrary<
		| {type: 'place'; demand: PlacementDemand; excluded: string[]} | {type: 'release' | 'decode'; index: number}
		| {type: 'report'; server: KnownServer; memoryTokens: number}
	>;

	// Guards against a backend server that crashes because new, queued, late, resumed and divided prompts together exceed its memory.
	it('is never exceeded by a placement, as far as load reports tell', () => {
		let placements = 0;
		fc.assert(fc.property(fc.array(event, {maxLength: 60}), events => {
			now = 0;
			const task = createTask();
			const placed: PlacedRequest[] = [];
			const handlers = {
				place({demand, excluded}: {demand: PlacementDemand; excluded: string[]}) {
					const before = servers.map(({id}) => task.loads.computeLoad(id, now).memoryTokens);
					const request = task.place(service, demand, new Set(excluded));
					if (request === undefined || request === 'wait') {
						return;
					}

					placements++;
					placed.push(request);
					const after = servers.map(({id}) => task.loads.computeLoad(id, now).memoryTokens);
					const added = after.map((tokens, index) => tokens - before[index]!);
					expect(added.reduce((sum, tokens) => sum + tokens, 0)).to.be.at.least(demand.promptTokens + demand.outputTokens);
					for (const [index, tokens] of after.entries()) {
						if (added[index]! > 0) {
							expect(tokens).to.be.at.most(engine.memoryTokens);
						}
					}
				},
				release({index}: {index: number}) {
					placed[index]?.release();
				},
				decode({index}: {index: number}) {
					placed[index]?.setDecoding();
				},
				report({server, memoryTokens}: {server: KnownServer; memoryTokens: number}) {
					task.loads.setPeerLoad('other', server.id, {...noLoad, memoryTokens}, now);
				},
			};
			for (const each of events) {
				now += 10;
				(handlers[each.type] as (argument: typeof each) => void)(each);
			}
		}), {seed: 41, numRuns: 1500});
		expect(placements).to.be.above(1000);
	});
});
