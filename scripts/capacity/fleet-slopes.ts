import {readFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import {setTimeout as wait} from 'node:timers/promises';
import {parseLists} from '@knapweedrack/protocol';
import {CallerClient, startFleet, type Fleet} from '@knapweedrack/testkit';
import {z} from 'zod';
import {applyConfiguration} from '../../packages/cli/src/configuration/apply-configuration.js';
import {buildDemoCredential, buildDemoPrompt} from '../../packages/cli/src/demo/demo-plan.js';
import {EntryPool} from '../../packages/cli/src/entries/entry-pool.js';
import {PlatformAccess} from '../../packages/cli/src/platform/platform-access.js';

const domains = ['regina', 'saskatoon', 'moose-jaw'];
const enginesPerDomain = 2;
const settleMs = 9000;
const idleMs = 6000;
const loadMs = 4000;
const requestsPerSecond = 25;
const clockTicksPerSecond = 100;
const statusTimeoutMs = 5000;
const progress = {update() {/* Shows no progress. */}, report() {/* Shows no progress. */}, stop() {/* Has no timer to stop. */}};

const trafficSchema = z.object({bytesReceived: z.number(), bytesSent: z.number()});
const statusSchema = z.object({
	peerTraffic: z.object({client: trafficSchema, server: trafficSchema}),
	platformCalls: z.object({calls: z.record(z.string(), z.number())}),
	totals: z.record(z.string(), z.number()),
});

type Sample = {at: number; cpuSeconds: number; memoryMb: number; bytes: number; calls: Record<string, number>; totals: Record<string, number>};

const readCpuSeconds = (pid: number): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
};

const readMemoryMb = (pid: number): number => Number(/VmRSS:\s+(?<kb>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kb) / 1024;

const fetchSamples = async (fleet: Fleet, pool: EntryPool): Promise<Sample[]> => Promise.all(fleet.entries.map(async ({peerAddress, process: managed}) => {
	const cpuSeconds = readCpuSeconds(managed!.pid);
	const memoryMb = readMemoryMb(managed!.pid);
	const answer = await pool.getStatus(peerAddress);
	if (!answer.ok) {
		throw new Error(answer.error.message);
	}

	const {peerTraffic: {client, server}, platformCalls: {calls}, totals} = statusSchema.parse(answer.value);
	const bytes = client.bytesReceived + client.bytesSent + server.bytesReceived + server.bytesSent;
	return {
		at: performance.now(), cpuSeconds, memoryMb, bytes, calls, totals,
	};
}));

const computeMean = (values: readonly number[]): number => Number((values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(2));

/** Computes means over the entries; `probe` is the peer traffic in bytes that taking one sample causes, by entry. */
const summarizePeriod = (before: readonly Sample[], after: readonly Sample[], probe: readonly number[]) => {
	const compute = (getDifference: (from: Sample, to: Sample, index: number) => number) =>
		computeMean(before.map((from, index) => getDifference(from, after[index]!, index) / ((after[index]!.at - from.at) / 1000)));
	const computeCalls = (kinds: readonly string[]) => compute((from, to) => kinds.reduce((sum, kind) => sum + (to.calls[kind] ?? 0) - (from.calls[kind] ?? 0), 0));
	return {
		cpuPercent: compute((from, to) => (to.cpuSeconds - from.cpuSeconds) * 100),
		memoryMb: computeMean(after.map(({memoryMb}) => memoryMb)),
		peerBytesPerSecond: compute((from, to, index) => to.bytes - from.bytes - probe[index]!),
		heartbeatsStartedPerSecond: compute((from, to) => (to.totals['heartbeat.sent'] ?? 0) - (from.totals['heartbeat.sent'] ?? 0)),
		readsPerSecond: computeCalls(['get', 'list', 'watch']),
		watchesPerSecond: computeCalls(['watch']),
		instanceListsPerSecond: computeCalls(['instances']),
		writesPerSecond: computeCalls(['put', 'delete']),
	};
};

const computeTotal = (samples: readonly Sample[], name: string): number => samples.reduce((sum, {totals}) => sum + (totals[name] ?? 0), 0);

const startMeasuredFleet = async (entries: number, lists: {workspaces: string; plans: string}): Promise<Fleet> => startFleet({
	deployment: {
		failureDomains: Object.fromEntries(domains.map(domain => [domain, 'prairie'])),
		engines: {'truing-model': Object.fromEntries(domains.map(domain => [domain, enginesPerDomain]))},
		entries: Object.fromEntries(domains.map((domain, index) => [domain, Math.floor((entries + domains.length - 1 - index) / domains.length)])),
		lists,
	},
	engine: {timeScale: 10, coldConcurrency: 32, coldPrefillTokens: 400_000},
	platform: {listLagMs: 200},
	gracePeriodMs: 1000,
	async installConfiguration({platformAddress}) {
		const parsed = parseLists({file: 'workspaces.yaml', text: lists.workspaces}, {file: 'plans.yaml', text: lists.plans});
		const access = new PlatformAccess(platformAddress, statusTimeoutMs);
		if (!parsed.ok) {
			throw new Error('the workspace or plan list of the example deployment is invalid');
		}

		const applied = await applyConfiguration(access, {lists: parsed.value, author: 'measurement', expectedRevision: undefined}, progress);
		await access.close();
		if (!applied.ok) {
			throw new Error(applied.error.message);
		}
	},
});

const sendLoad = async (fleet: Fleet): Promise<Record<string, number>> => {
	const caller = new CallerClient({entries: fleet.entries.map(({address}) => address), credential: buildDemoCredential('great-plains-shortline')});
	const count = (requestsPerSecond * loadMs) / 1000;
	const results = await Promise.all(Array.from({length: count}, async (_, index) => {
		await wait((index * loadMs) / count);
		const {outcome} = await caller.sendCompletion({model: 'truing-model', prompt: buildDemoPrompt(`load-${index}`, 500), maxTokens: 16});
		return outcome;
	}));
	await caller.close();
	return Object.fromEntries([...new Set(results)].map(outcome => [outcome, results.filter(other => other === outcome).length]));
};

const measureLoad = async (fleet: Fleet, pool: EntryPool, idle: {cpuPercent: number; peerBytesPerSecond: number}) => {
	const first = await fetchSamples(fleet, pool);
	const before = await fetchSamples(fleet, pool);
	const probe = before.map(({bytes}, index) => bytes - first[index]!.bytes);
	const outcomes = await sendLoad(fleet);
	const after = await fetchSamples(fleet, pool);
	const requests = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
	const cpuSeconds = before.reduce((sum, from, index) => sum + after[index]!.cpuSeconds - from.cpuSeconds - ((idle.cpuPercent / 100) * ((after[index]!.at - from.at) / 1000)), 0);
	return {
		requests, outcomes,
		cpuMsPerRequest: Number(((cpuSeconds * 1000) / requests).toFixed(2)),
		permitsGranted: computeTotal(after, 'permit.granted') - computeTotal(before, 'permit.granted'),
		peerBytesAboveIdle: Math.round(after.reduce((sum, to, index) => sum + to.bytes - before[index]!.bytes - probe[index]! - (idle.peerBytesPerSecond * ((to.at - before[index]!.at) / 1000)), 0)),
		seconds: Number(((after[0]!.at - before[0]!.at) / 1000).toFixed(2)),
	};
};

/** Measures a fleet of real entry processes while idle and, if `hasLoad`, under a small load. */
export const measureFleet = async (entries: number, lists: {workspaces: string; plans: string}, hasLoad: boolean) => {
	const startedAt = performance.now();
	const fleet = await startMeasuredFleet(entries, lists);
	const pool = new EntryPool(fleet.peerSecret, statusTimeoutMs);
	try {
		const startMs = Math.round(performance.now() - startedAt);
		await wait(settleMs);
		const first = await fetchSamples(fleet, pool);
		const before = await fetchSamples(fleet, pool);
		const probe = before.map(({bytes}, index) => bytes - first[index]!.bytes);
		await wait(idleMs);
		const idle = summarizePeriod(before, await fetchSamples(fleet, pool), probe);
		const load = hasLoad ? await measureLoad(fleet, pool, idle) : undefined;
		return {
			entries: fleet.entries.length, engines: fleet.engines.length, startMs, loadAverage: loadavg(), idle, load,
		};
	} finally {
		pool.close();
		await fleet.close();
	}
};
