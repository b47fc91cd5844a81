import {expect} from 'chai';
import type {LoadSnapshot} from '../types/index.js';
import {LongPromptPool} from './long-prompt-pool.js';
import {
	applyAssumedMemory, selectCandidates, type RoutingInput, type RoutingServer,
} from './select-candidates.js';

const createLoad = (serverId: string, firstTokenMs: number, concurrencyLimit = 8): LoadSnapshot => ({
	serverId, queuedPrefillTokens: 0, runningPrefillTokens: 0, kvTokensUsed: 0, kvTokens: 1_000_000, running: 0, concurrencyLimit,
	shortFirstTokenMs: firstTokenMs, longFirstTokenMs: firstTokenMs,
});

const createServers = (count: number, fields: (index: number) => Partial<RoutingServer> = () => ({})): RoutingServer[] =>
	Array.from({length: count}, (_, index) => ({
		id: `s${index}`, isOwned: false, cachedTokens: 0, ...fields(index),
	}));

const select = (servers: RoutingServer[], fields: Partial<RoutingInput> = {}) => selectCandidates({
	subsetKey: 'entry-1', affinityKey: 'prefix', choiceKey: 'attempt', promptTokens: 4096, kvTokens: 5000, servers,
	excluded: new Set(), longPoolSize: 2, now: 1000, ...fields,
});

describe('selectCandidates', () => {
	// Guards against a second attempt on the server that just failed.
	it('omits servers already tried and those without enough memory', () => {
		const servers = createServers(4, index => ({kvTokens: index === 3 ? 4000 : 1_000_000}));
		const ids = select(servers, {excluded: new Set(['s1'])}).map(candidate => candidate.serverId);
		expect(ids).to.have.members(['s0', 's2']);
		expect(select(servers, {excluded: new Set(['s0', 's1', 's2'])})).to.be.empty;
	});

	// Guards against sending a prompt that needs a group to a single server of unknown memory, which refuses it.
	it('assumes that servers of unknown memory are no larger than the known ones', () => {
		const servers = applyAssumedMemory(createServers(4, index => ({kvTokens: index === 0 ? 1500 : undefined})));
		expect(servers.map(({kvTokens}) => kvTokens)).to.deep.equal([1500, 1500, 1500, 1500]);
		expect(select(servers)).to.be.empty;
	});

	// Guards against a prefill that a cached prefix would have avoided.
	it('prefers the server with the longest cached prefix and subtracts it from the cost', () => {
		const [first] = select(createServers(10, index => ({cachedTokens: index === 7 ? 3072 : 0})));
		expect(first).to.deep.equal({
			serverId: 's7', isOwned: false, prefillTokens: 1024, promptClass: 10, cause: 'cached',
		});
	});

	// Guards against a popular prefix that overloads the only server that caches it.
	it('drops affinity and ownership above the load bound', () => {
		const busy = (index: number) => createLoad(`s${index}`, index === 7 ? 2000 : 50);
		const cached = select(createServers(10, index => ({cachedTokens: index === 7 ? 3072 : 0, load: busy(index)})));
		expect(cached[0]!.serverId).not.to.equal('s7');
		const owned = select(createServers(10, index => ({isOwned: index === 7, load: busy(index)})));
		expect(owned[0]!.serverId).not.to.equal('s7');
	});

	// Guards against a message to another entry when a server of this entry has capacity.
	it('puts own servers first while their load is acceptable', () => {
		const candidates = select(createServers(10, index => ({isOwned: index < 2, load: createLoad(`s${index}`, 50)})));
		expect(candidates.slice(0, 2).every(candidate => candidate.isOwned)).to.be.true;
	});

	// Guards against herding, where all entries choose the least loaded server of the last report.
	it('spreads choices and takes the less loaded one of two', () => {
		const servers = createServers(10, index => ({load: createLoad(`s${index}`, index * 20)}));
		const counts = new Map<string, number>();
		for (let index = 0; index < 2000; index++) {
			const {serverId} = select(servers, {affinityKey: undefined, choiceKey: `attempt-${index}`})[0]!;
			counts.set(serverId, (counts.get(serverId) ?? 0) + 1);
		}

		expect(counts.get('s0')).to.be.within(300, 500);
		expect(counts.get('s9') ?? 0).to.equal(0);
	});

	// Guards against a prefix that is cached on every server, and against a prefix that overloads its two servers.
	it('sends a prefix to the same two servers while one of them is within the load bound', () => {
		const choose = (loads: number[]) => new Set(Array.from({length: 200}, (_, index) =>
			select(createServers(10, server => ({load: createLoad(`s${server}`, loads[server]!)})), {choiceKey: `attempt-${index}`})[0]!.serverId));
		const idle = Array.from({length: 10}, () => 50);
		const [first] = [...choose(idle)];
		expect(choose(idle).size).to.equal(1);
		const busy = idle.map((load, index) => `s${index}` === first ? 3000 : load);
		const [second] = [...choose(busy)];
		expect(choose(busy).size).to.equal(1);
		expect(second).not.to.equal(first);
		expect(choose(busy.map((load, index) => `s${index}` === second ? 3000 : load)).size).to.be.greaterThan(4);
	});

	// Guards against messages between all entries and all servers of a large fleet, and against an entry without servers.
	it('chooses from a stable subset that replaces excluded servers', () => {
		const servers = createServers(660);
		const before = select(servers).map(candidate => candidate.serverId);
		expect(before).to.have.length(24);
		const after = select(servers, {excluded: new Set([before[0]!])}).map(candidate => candidate.serverId);
		expect(after).to.have.length(24).and.include.members(before.slice(1));
		const shares = new Set(Array.from({length: 350}, (_, index) => select(servers, {subsetKey: `entry-${index}`})).flat().map(candidate => candidate.serverId));
		expect(shares.size).to.equal(660);
	});

	// Guards against long prompts that occupy all servers.
	it('confines long prompts to the same pool from every entry', () => {
		const servers = createServers(20);
		const pools = ['entry-1', 'entry-2', 'entry-3'].map(subsetKey => select(servers, {subsetKey, promptTokens: 500_000}).map(candidate => candidate.serverId).toSorted());
		expect(pools[0]).to.have.length(2);
		expect(pools[1]).to.deep.equal(pools[0]);
		expect(pools[2]).to.deep.equal(pools[0]);
	});
});

describe('LongPromptPool', () => {
	const offer = (pool: LongPromptPool, tokensPerSecond: number, from: number, to: number): number[] => {
		const sizes: number[] = [];
		for (let now = from; now < to; now += 1000) {
			pool.recordOffered(tokensPerSecond, now);
			sizes.push(pool.computeSize(20, 20_000, now));
		}

		return sizes;
	};

	// Guards against long prompts that queue on too few servers, and against a pool that takes all of them.
	it('grows with the offered load up to its share of the servers', () => {
		const pool = new LongPromptPool();
		expect(offer(pool, 60_000, 0, 120_000).at(-1)).to.be.within(5, 6);
		expect(offer(pool, 2_000_000, 120_000, 240_000).at(-1)).to.equal(15);
	});

	// Guards against cached prefixes that move between servers with every change of the load.
	it('shrinks only after a lasting decrease', () => {
		const pool = new LongPromptPool();
		offer(pool, 60_000, 0, 120_000);
		const varying = Array.from({length: 20}, (_, index) => offer(pool, index % 2 === 0 ? 30_000 : 60_000, 120_000 + (index * 10_000), 130_000 + (index * 10_000))).flat();
		expect(new Set(varying).size).to.be.at.most(2);
		expect(offer(pool, 1000, 320_000, 620_000).at(-1)).to.equal(1);
	});
});
