import process from 'node:process';
import {
	AdmissionPoint, ConfigurationState, MinuteCollector, OwnershipTable, SliceHolder, WorkspaceBudget,
	attemptResults, buildManifest, outcomeKinds, selectCandidates, selectRendezvous, splitConfiguration,
	type BackendServerProfile, type RoutingServer, type TextHash32,
} from '@knapweedrack/core';
import {configurationChunkSchema, sessionRecordSchema} from '@knapweedrack/protocol';
import {
	createConfiguration, createServers, createSession, hashDigest, measureMicros,
} from './stand-ins.js';

const fleetSizes = [[2, 10], [8, 20], [32, 64], [100, 200], [350, 660]] as const;
const workspaceCounts = [10, 1000, 9000, 27_000] as const;
const profile: BackendServerProfile = {
	id: 'engine-0', kvTokens: 4_000_000, prefillTokensPerSecond: 80_000, maxConcurrency: 256, coldConcurrency: 256, coldPrefillTokens: 10_000_000,
};

const readHeapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const createTable = (entries: number, servers: number, hash: TextHash32) => {
	const table = new OwnershipTable({self: createSession(0), hash, settleMs: 0});
	const sessions = Array.from({length: entries}, (_, index) => createSession(index));
	table.handle({type: 'sessions', sessions, sentAt: 0}, 0);
	table.handle({type: 'instances', servers: createServers(servers), entryIds: sessions.map(({entryId}) => entryId)}, 0);
	table.handle({type: 'lease', validUntil: Number.MAX_SAFE_INTEGER}, 0);
	for (const {id} of createServers(servers)) {
		table.handle({
			type: 'owner', serverId: id, version: 1,
			record: {
				serverId: id, owner: `entry-${Math.max(1, entries - 1)}`, epoch: `epoch-${Math.max(1, entries - 1)}-0123456789abcdef`, fencingNumber: 1, released: false,
			},
		}, 0);
	}

	return {table, sessions};
};

/** Measures the time of one tick, one session list and one change of the set of entries, and the heap of the ownership table. */
export const measureOwnership = (hash: TextHash32) => fleetSizes.map(([entries, servers]) => {
	const heapBefore = readHeapBytes();
	const {table, sessions} = createTable(entries, servers, hash);
	const heapBytes = readHeapBytes() - heapBefore;
	const {length} = sessions;
	const tickMicros = measureMicros(20, 20, () => {
		table.handle({type: 'tick'}, 100);
	});
	const sessionsMicros = measureMicros(20, 20, call => {
		table.handle({type: 'sessions', sessions: sessions.map(session => ({...session, renewal: call})), sentAt: 100}, 100);
	});
	const changeMicros = measureMicros(20, 4, call => {
		table.handle({type: 'sessions', sessions: call % 2 === 0 ? sessions.slice(0, -1) : sessions, sentAt: 100}, 100);
		table.handle({type: 'tick'}, 100);
	});
	return {
		entries: length, servers, tickMicros, sessionsMicros, changeMicros, heapBytes,
	};
});

/** Measures the time to grant and release one permit at an owner, by the number of permits that are already open. */
export const measurePermits = () => [0, 64, 200].map(open => {
	const point = new AdmissionPoint(profile);
	point.handle({
		type: 'report', report: {
			serverId: 'engine-0', bootId: 'boot-1', state: 'live', profile, kvTokensUsed: 0, running: [], reservations: [],
		},
	}, 0);
	const request = (id: string) => point.handle({
		type: 'request', request: {
			requestId: id, attemptId: id, entryId: 'entry-1', serverId: 'engine-0', workspaceId: `workspace-${id.length % 10}`, weight: 1, priority: 1,
			prefillTokens: 10, decodeTokens: 10, kvTokens: 20, deadlineInMs: 60_000, firstTokenInMs: 60_000, isSuspect: false,
		},
	}, 1);
	for (let index = 0; index < open; index++) {
		request(`open-${index}`);
	}

	let granted = 0;
	const micros = measureMicros(20, 100, call => {
		for (const command of request(`call-${call}`)) {
			if (command.type === 'grant') {
				granted++;
				point.handle({type: 'firstToken', permitId: command.permit.permitId}, 1);
				point.handle({type: 'release', permitId: command.permit.permitId, result: attemptResults.completed}, 1);
			}
		}
	});
	return {open, granted, micros};
});

/** Measures the time to select candidates, by the number of backend servers of the model. */
export const measureRouting = () => [10, 50, 165, 330, 660].map(servers => {
	const routing: RoutingServer[] = createServers(servers).map(({id}, index) => ({
		id, isOwned: index < 2, cachedTokens: 0, kvTokens: 4_000_000, loadAt: 0, load: {
			serverId: id, queuedPrefillTokens: 0, runningPrefillTokens: 0, kvTokensUsed: 0, kvTokens: 4_000_000, running: 1, concurrencyLimit: 64, shortFirstTokenMs: index, longFirstTokenMs: index,
		},
	}));
	const micros = measureMicros(20, 10, call => {
		selectCandidates({
			subsetKey: 'entry-1', affinityKey: `block-${call}`, choiceKey: `attempt-${call}`, promptTokens: 1000, kvTokens: 1100,
			servers: routing, excluded: new Set(), longPoolSize: 4, now: 1,
		});
	});
	return {servers, micros};
});

/** Measures the exchange of demand and rate limit slices between holder and owner, and the selection of the owner, by the number of active workspaces. */
export const measureLimits = (hash: TextHash32) => [10, 1000, 27_000].map(workspaces => {
	const plan = createConfiguration(1).plans[0]!;
	const heapBefore = readHeapBytes();
	const pairs = Array.from({length: workspaces}, () => ({budget: new WorkspaceBudget(plan, {entries: 350}, 0), holder: new SliceHolder(plan, {entries: 350}, 0)}));
	const runExchange = (index: number, now: number) => {
		const {budget, holder} = pairs[index % workspaces]!;
		const slice = budget.handle({type: 'demand', entryId: 'entry-1', demand: holder.resetDemand(now)}, now);
		holder.handle({type: 'slice', slice, requestedAt: now}, now);
	};

	for (let index = 0; index < workspaces; index++) {
		runExchange(index, 3000);
	}

	const heapBytesPerWorkspace = Math.round((readHeapBytes() - heapBefore) / workspaces);
	const exchangeMicros = measureMicros(10, Math.min(workspaces, 2000), call => {
		runExchange(call, 3500);
	});
	const sessions = Array.from({length: 350}, (_, index) => createSession(index));
	// Repeats the steps of `listOwnerCandidates`, which an entry runs once per round, and of the owner selection for each workspace.
	const candidates = sessions.map(({entryId}) => ({id: entryId, hash: hash(entryId)}));
	const candidatesMicros = measureMicros(10, 20, () => {
		sessions.map(({entryId}) => ({id: entryId, hash: hash(entryId)}));
	});
	const ownerMicros = measureMicros(10, 20, call => {
		selectRendezvous(hash(`workspace ${call}`), candidates);
	});
	return {
		workspaces, exchangeMicros, candidatesOf350Micros: candidatesMicros, ownerAmong350Micros: ownerMicros, heapBytesPerWorkspace,
	};
});

/** Measures the chunks of a configuration, the bytes of one edit, the time to split and read them, and the heap of the state. */
export const measureConfiguration = () => workspaceCounts.map(workspaces => {
	const configuration = createConfiguration(workspaces);
	const splitStartedAt = performance.now();
	const chunks = splitConfiguration(configuration, hashDigest);
	const splitMs = performance.now() - splitStartedAt;
	const texts = new Map(chunks.map(({hash, text}) => [hash, text]));
	const manifest = buildManifest(chunks, 'edit-1');
	const edited = {...configuration, workspaces: configuration.workspaces.with(0, {...configuration.workspaces[0]!, plan: 'plan-7'})};
	const editedChunks = splitConfiguration(edited, hashDigest);
	const changed = editedChunks.filter(({hash}) => !texts.has(hash));
	const editedManifest = buildManifest(editedChunks, 'edit-2', manifest);
	const heapBefore = readHeapBytes();
	const state = new ConfigurationState({digest: hashDigest});
	const readStartedAt = performance.now();
	state.handle({type: 'manifest', manifest});
	let applied: unknown;
	for (const [hash, text] of texts) {
		const chunk = configurationChunkSchema.parse(JSON.parse(text));
		for (const command of state.handle({type: 'chunk', hash, chunk})) {
			applied = command;
		}
	}

	const readMs = performance.now() - readStartedAt;
	const heapBytes = readHeapBytes() - heapBefore;
	const editStartedAt = performance.now();
	state.handle({type: 'manifest', manifest: editedManifest});
	for (const {hash, text} of changed) {
		state.handle({type: 'chunk', hash, chunk: configurationChunkSchema.parse(JSON.parse(text))});
	}

	return {
		workspaces, chunks: chunks.length, bytes: chunks.reduce((sum, {text}) => sum + text.length, 0), largestChunkBytes: Math.max(...chunks.map(({text}) => text.length)),
		editChunks: changed.length, editBytes: changed.reduce((sum, {text}) => sum + text.length, 0), manifestBytes: JSON.stringify(editedManifest).length,
		splitMs: Math.round(splitMs), readMs: Math.round(readMs), applyEditMs: Math.round(performance.now() - editStartedAt), heapBytes, isApplied: applied !== undefined && state.revision === 2,
	};
});

/** Measures the bytes of one minute summary, by the number of workspaces with requests. */
export const measureSummary = () => [10, 100, 1000].map(workspaces => {
	const collector = new MinuteCollector();
	for (let index = 0; index < workspaces * 10; index++) {
		collector.record({
			workspaceId: `workspace-${index % workspaces}`,
			promptTokens: index % 10 === 0 ? 150_000 : 2000, outcome: outcomeKinds.completed, firstTokenMs: 100 + (index % 400), firstTokenTargetMs: 610, isLate: false,
		});
	}

	const summary = collector.close({
		entryId: 'entry-1', epoch: 'epoch-1', sequence: 0, from: 0, to: 60_000, isLast: false,
	});
	const bytes = JSON.stringify(summary).length;
	return {workspaces, bytes, bytesPerWorkspace: Math.round(bytes / workspaces)};
});

/** Measures the time to validate the session records in one answer of the session watch and to sort the entries into the heartbeat ring. */
export const measureSessionRecords = (hash: TextHash32) => [8, 32, 100, 350].map(entries => {
	const values = Array.from({length: entries}, (_, index) => createSession(index) as unknown);
	const parseAllMicros = measureMicros(20, 20, () => {
		for (const value of values) {
			sessionRecordSchema.safeParse(value);
		}
	});
	// Repeats the steps that `selectHeartbeatTargets` adds when the fleet is too large for a full mesh: hash and sort.
	const ringMicros = measureMicros(20, 20, () => {
		Array.from({length: entries}, (_, index) => ({id: `entry-${index}`, position: hash(`entry-${index}`)})).sort((left, right) => left.position - right.position);
	});
	return {
		entries, recordBytes: JSON.stringify(createSession(100, 40_000)).length, parseAllMicros, ringMicros,
	};
});
