import {expect} from 'chai';
import fc from 'fast-check';
import {
	healthSignals, noLoad, selectPlacement, type EngineProfile, type PlacementCandidate, type Service,
} from '@knapweedrack/core';
import type {KnownServer, StoreStateTask} from '../store-state/store-state-task.js';
import {PlacementTask, type PlacementOptions} from './placement-task.js';

const engine: EngineProfile = {
	slots: 8, memoryTokens: 450_000, stepMs: 0.925, stepMsPerSequence: 0.007, stepMsPerThousandTokens: 0.002_54, prefillTokensPerMs: 256,
	attentionMsPerMillionPairs: 0.0917, chunkTokens: 2048, stepsPerPass: 46, hopMs: 0.1, meanPromptTokens: 13_000, meanAnswerTokens: 1500,
};
const demand = {
	promptTokens: 5000, outputTokens: 1600, targetMs: 300, waitedMs: 0, deadlineMs: 10_000, hasBegun: false, pauseTargetMs: 200,
};
const domains = ['east', 'north', 'west'];
const none: ReadonlySet<string> = new Set();

const buildService = (profile?: EngineProfile): Service => {
	const service: Partial<Service> = {name: 'pool', engine: profile, coldRequestsPerSecond: 0};
	return service as Service;
};

const buildServers = (count: number): KnownServer[] => Array.from({length: count}, (_, index) => ({
	id: `s${index + 10}`, service: 'pool', address: `10.0.0.${index}:80`, failureDomain: domains[index % 3]!, slots: 6, isDraining: false, coldForMs: 0,
	bootId: undefined, coldUntil: 0, usableUntil: undefined,
}));

/** Random numbers of a fixed seed from 0 to 1. */
const createRandom = (): (() => number) => {
	let state = 7;
	return () => {
		state = ((state * 48_271) + 11) % 2_147_483_647;
		return state / 2_147_483_647;
	};
};

type Fixture = {task: PlacementTask; collisions: string[]; agesMs: number[]; readBalance: () => Array<{labels: Record<string, string>; value: number}>};

const createTask = (servers: readonly KnownServer[], changes: Partial<PlacementOptions> = {}): Fixture => {
	const collisions: string[] = [];
	const agesMs: number[] = [];
	let readBalance: Fixture['readBalance'] = () => [];
	const task = new PlacementTask({
		serverLimits: {hasRoom: () => true, isLimited: () => false, consume: () => undefined},
		serverNotices: {getHold: () => undefined, isUnconfirmed: () => false, recordSent: () => undefined},
		storeState: {listUsableServers: () => [...servers], findServer: (id: string) => servers.find(server => server.id === id)} as unknown as StoreStateTask,
		timer: {now: () => 1000} as unknown as PlacementOptions['timer'],
		metrics: {
			addLabelledGauge(_, _labelNames, list) {
				readBalance = () => list();
			},
			countCollision(service) {
				collisions.push(service);
			},
			recordLoadAge(_, ageMs) {
				agesMs.push(ageMs);
			},
		},
		failureDomain: 'east', random: () => 0.5, entryId: 'entry-1', listEntryIds: () => ['entry-1'], listSummaryDomains: () => [], notifyLoad: () => undefined,
		...changes,
	});
	return {
		task, collisions, agesMs, readBalance: () => readBalance(),
	};
};

/** Places a prompt and removes its load again. */
const placeOnce = (task: PlacementTask): string => {
	const placed = task.place(buildService(engine), demand, none);
	if (placed === undefined || placed === 'wait') {
		return 'none';
	}

	placed.release();
	return placed.server.id;
};

const placeRepeatedly = (task: PlacementTask, count: number): string[] => Array.from({length: count}, () => placeOnce(task));

const placeServer = (task: PlacementTask, service: Service): string | undefined => {
	const placed = task.place(service, demand, none);
	return placed === undefined || placed === 'wait' ? undefined : placed.server.id;
};

/** Sets the load of a server and returns it as a candidate. */
const setLoad = (task: PlacementTask, id: string, requests: number): PlacementCandidate => {
	const load = {
		...noLoad, requests, decodingRequests: requests, contextTokens: requests * 5000,
	};
	task.loads.setPeerLoad('other', id, load, 1000);
	return {
		id, load, penaltyMs: 3, orderShift: 0.5,
	};
};

describe('PlacementTask', () => {
	describe('direct reports', () => {
		// Guards against another decision in fleets whose figures are fresh.
		it('decides as the shared order does', () => {
			fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 8}), {minLength: 1, maxLength: 12}), fc.boolean(), (requests, isLong) => {
				const {task} = createTask(buildServers(requests.length), {failureDomain: 'none'});
				const candidates = requests.map((count, index) => setLoad(task, `s${index + 10}`, count));
				const changed = isLong ? {...demand, promptTokens: 150_000, targetMs: 3000} : demand;
				const expected = selectPlacement(engine, candidates, changed);
				const placed = task.place(buildService(engine), changed, none);
				expect(placed === undefined || placed === 'wait' ? placed : [placed.server.id, ...placed.helpers.map(({id}) => id)])
					.to.deep.equal(expected.type === 'place' ? [expected.placement.serverId, ...expected.placement.helperIds] : (expected.type === 'wait' ? 'wait' : undefined));
			}), {seed: 5, numRuns: 100});
		});
	});

	describe('summaries', () => {
		// Guards against entries that all choose the same engine while they know of no load.
		it('prefers the home servers of its failure domain, at random', () => {
			const random = createRandom();
			const setOtherLoads = (task: PlacementTask, own: string): void => {
				for (const {id} of buildServers(12)) {
					for (const other of domains.filter(domain => domain !== own)) {
						task.loads.setDomainLoad(other, id, {...noLoad, requests: 1, decodingRequests: 1}, 990);
					}
				}
			};

			const chosen = domains.map(failureDomain => {
				const {task} = createTask(buildServers(12), {failureDomain, random, listSummaryDomains: () => domains});
				setOtherLoads(task, failureDomain);
				return placeRepeatedly(task, 12);
			});
			for (const [index, ids] of chosen.entries()) {
				expect(ids.filter(id => (Number(id.slice(1)) - 10) % 3 === index).length).to.be.at.least(9);
				expect(new Set(ids).size).to.be.at.least(4);
			}
		});

		// Guards against a service of three plain servers whose first one gets the requests of all entries at the same moment.
		it('spreads requests of a service of three plain servers', () => {
			const counts = new Map<string, number>();
			const random = createRandom();
			for (let entry = 0; entry < 30; entry++) {
				const {task} = createTask(buildServers(3), {failureDomain: 'none', random, listSummaryDomains: () => domains});
				const id = placeServer(task, buildService())!;
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}

			expect([...counts.values()].toSorted((a, b) => a - b)[0]).to.be.above(5);
			expect(counts.size).to.equal(3);
			const {task} = createTask(buildServers(3), {failureDomain: 'none', listSummaryDomains: () => domains});
			task.loads.setDomainLoad('west', 's10', {...noLoad, requests: 3}, 990);
			task.loads.setDomainLoad('west', 's11', {...noLoad, requests: 3}, 990);
			expect(placeServer(task, buildService())).to.equal('s12');
		});
	});

	describe('metrics', () => {
		// Guards against rejections counted as collisions while the whole service is full.
		it('counts a rejection as a collision only while another server has room', () => {
			const {task, collisions} = createTask(buildServers(2));
			task.recordSignal('s10', healthSignals.answered);
			expect(collisions).to.deep.equal([]);
			task.recordSignal('s10', healthSignals.busy);
			expect(collisions).to.deep.equal(['pool']);
			task.loads.setPeerLoad('other', 's11', {...noLoad, requests: 6}, 1000);
			task.recordSignal('s10', healthSignals.busy);
			expect(collisions.length).to.equal(1);
		});

		// Guards against a histogram of ages that leaves out old figures, and a gauge without the idle servers.
		it('records the age of the figures used and the balance by service', () => {
			const {task, agesMs, readBalance} = createTask(buildServers(2), {listSummaryDomains: () => domains});
			task.loads.setDomainLoad('west', 's10', noLoad, 700);
			task.loads.setDomainLoad('north', 's10', noLoad, 900);
			task.loads.setDomainLoad('north', 's11', {...noLoad, requests: 5}, 900);
			expect(placeServer(task, buildService())).to.equal('s10');
			expect(agesMs).to.deep.equal([300]);
			expect(readBalance()).to.deep.equal([{labels: {service: 'pool'}, value: 10 / 6}]);
		});
	});
});
