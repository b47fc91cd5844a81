import {readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {parseLists} from '@knapweedrack/protocol';
import {
	CallerClient, renderAnswer, startFleet, type CallResult, type Fleet,
} from '@knapweedrack/testkit';
import VError from 'verror';
import {z} from 'zod';
import {applyConfiguration} from '../configuration/apply-configuration.js';
import {EntryPool} from '../entries/entry-pool.js';
import type {EntryStatus} from '../entries/entry-client.js';
import {PlatformAccess} from '../platform/platform-access.js';
import type {Progress} from '../program/progress.js';

/** Model that all engines of the fleet serve. */
export const model = 'truing-model';
const ignore = (): undefined => undefined;
/** Discards all progress output. */
export const noProgress: Progress = {update: ignore, report: ignore, stop: ignore};
const platformTimeoutMs = 5000;
const pollMs = 50;
const settleLimitMs = 40_000;
const examplesUrl = new URL('../../../../examples/prairie/', import.meta.url);

const engineStateSchema = z.looseObject({
	kvTokensUsed: z.number(), running: z.array(z.unknown()), reservations: z.array(z.unknown()), crashes: z.number(),
	isCold: z.boolean(), executed: z.record(z.string(), z.number()),
});
const serviceStateSchema = z.looseObject({executions: z.record(z.string(), z.number())});
const backendServersSchema = z.array(z.object({serverId: z.string(), mode: z.string()}));

let sharedFleet: Promise<Fleet> | undefined;

/** Starts the fleet on first use; all files of this folder share it. */
export const getFleet = async (): Promise<Fleet> => {
	sharedFleet ??= createFleet();
	return sharedFleet;
};

after(async () => {
	const fleet = await sharedFleet;
	await fleet?.close();
});

const createFleet = async (): Promise<Fleet> => {
	const [workspaces, plans] = await Promise.all(['workspaces.yaml', 'plans.yaml'].map(async name => readFile(new URL(name, examplesUrl), 'utf8')));
	return startFleet({
		deployment: {
			failureDomains: {regina: 'prairie', saskatoon: 'prairie'},
			engines: {[model]: {regina: 2, saskatoon: 2}},
			services: {'work-orders': {regina: 1}},
			entries: {regina: 2, saskatoon: 1},
			lists: {workspaces: workspaces!, plans: plans!},
		},
		engine: {timeScale: 10, coldConcurrency: 4, coldPrefillTokens: 400_000},
		platform: {listLagMs: 200},
		gracePeriodMs: 20_000,
		async installConfiguration({platformAddress, lists}) {
			await applyLists(platformAddress, lists);
		},
	});
};

/** Runs a function with a platform connection of the command line and closes the connection. */
export const runWithPlatform = async <Value>(platformAddress: string, run: (access: PlatformAccess) => Promise<Value>): Promise<Value> => {
	const access = new PlatformAccess(platformAddress, platformTimeoutMs);
	try {
		return await run(access);
	} finally {
		await access.close();
	}
};

/** Applies lists and returns their revision. */
export const applyLists = async (platformAddress: string, lists: {workspaces: string; plans: string}): Promise<number> => {
	const parsed = parseLists({file: 'workspaces.yaml', text: lists.workspaces}, {file: 'plans.yaml', text: lists.plans});
	if (!parsed.ok) {
		throw new VError('the lists are invalid: %j', parsed.error);
	}

	const applied = await runWithPlatform(platformAddress, async access => applyConfiguration(access, {lists: parsed.value, author: 'test', expectedRevision: undefined}, noProgress));
	if (!applied.ok) {
		throw new VError('the lists could not be applied: %s', applied.error.message);
	}

	return applied.value.revision;
};

/** Polls until the condition holds and returns the elapsed time in ms; fails after the limit with the value last read. */
export const waitUntil = async <Value>(read: () => Promise<Value>, holds: (value: Value) => boolean, limitMs: number): Promise<number> => {
	const startedAt = performance.now();
	for (;;) {
		const value = await read();
		const elapsedMs = performance.now() - startedAt;
		if (holds(value)) {
			return elapsedMs;
		}

		if (elapsedMs > limitMs) {
			throw new VError('the condition did not hold within %d ms; last value: %j', limitMs, value);
		}

		await wait(pollMs);
	}
};

/** Fetches the state of each engine, with its failure domain. */
export const fetchEngines = async (fleet: Fleet) => Promise.all(fleet.engines.map(async ({id, failureDomain}) => ({failureDomain, ...engineStateSchema.parse(await fleet.fetchState(id))})));

/** Computes the sum of one figure over all engines. */
export const computeEngineSum = async (fleet: Fleet, measure: (state: Awaited<ReturnType<typeof fetchEngines>>[number]) => number): Promise<number> => {
	const states = await fetchEngines(fleet);
	return states.reduce((sum, state) => sum + measure(state), 0);
};

/** Counts the requests that run on all engines. */
export const countRunning = async (fleet: Fleet): Promise<number> => computeEngineSum(fleet, ({running}) => running.length);

/** Counts how often the service executed the call with an idempotency key. */
export const countExecutions = async (fleet: Fleet, key: string): Promise<number> => serviceStateSchema.parse(await fleet.fetchState(fleet.services[0]!.id)).executions[key] ?? 0;

/** Adds the same fault to every engine. */
export const addFaultToEngines = async (fleet: Fleet, fault: Record<string, unknown>): Promise<void> => {
	await Promise.all(fleet.engines.map(async ({id}) => fleet.addFault(id, fault)));
};

/** Fetches `operations.status` from all entries; entries that do not answer are omitted. */
export const fetchStatuses = async (fleet: Fleet): Promise<EntryStatus[]> => {
	const pool = new EntryPool(fleet.peerSecret, platformTimeoutMs);
	try {
		const answers = await Promise.all(fleet.entries.map(async ({peerAddress}) => pool.getStatus(peerAddress)));
		return answers.flatMap(answer => answer.ok ? [answer.value] : []);
	} finally {
		pool.close();
	}
};

/** Clears faults, starts stopped entries and waits until every engine is idle and has an owner that issues permits. */
export const restoreFleet = async (): Promise<Fleet> => {
	const fleet = await getFleet();
	await Promise.all(['platform', ...[...fleet.engines, ...fleet.services].map(({id}) => id)].map(async id => fleet.removeFaults(id)));
	await Promise.all(fleet.entries.filter(entry => entry.process === undefined).map(async ({id}) => fleet.startMember(id)));
	await waitUntil(async () => fetchStatuses(fleet), statuses => countFullOwners(fleet, statuses) === fleet.engines.length, settleLimitMs);
	await waitUntil(async () => countRunning(fleet), running => running === 0, settleLimitMs);
	return fleet;
};

const countFullOwners = (fleet: Fleet, statuses: readonly EntryStatus[]): number => {
	const engines = new Set(fleet.engines.map(({id}) => id));
	return statuses.flatMap(({backendServers}) => backendServersSchema.parse(backendServers ?? [])).filter(({serverId, mode}) => engines.has(serverId) && mode === 'full').length;
};

/** Runs calls of one workspace; with `entry`, all calls go to that entry. */
export const runAsCaller = async <Value>(fleet: Fleet, entry: {address: string} | undefined, run: (caller: CallerClient) => Promise<Value>): Promise<Value> => {
	const caller = new CallerClient({
		entries: entry ? [entry.address] : fleet.entries.map(({address}) => address),
		credential: 'example-great-plains-shortline',
		isPinned: entry !== undefined,
	});
	try {
		return await run(caller);
	} finally {
		await caller.close();
	}
};

/** Sends one prompt, to `entry` or else to an entry that the caller client selects. */
export const sendPrompt = async (fleet: Fleet, {prompt, maxTokens, entry}: {prompt: string; maxTokens: number; entry?: {address: string}}): Promise<CallResult> =>
	runAsCaller(fleet, entry, async caller => caller.sendCompletion({model, prompt, maxTokens}));

/** Renders the answer that the stand-in engine gives to a prompt sent as one chat message. */
export const renderExpectedAnswer = (prompt: string, maxTokens: number): string => renderAnswer(`<|user|>\n${prompt}\n<|assistant|>\n`, maxTokens);

/** Calls `run` concurrently with each index below `count`. */
export const runConcurrently = async <Value>(count: number, run: (index: number) => Promise<Value>): Promise<Value[]> => Promise.all(Array.from({length: count}, async (_, index) => run(index)));
