import type {LoadSnapshot} from '../types/index.js';
import {computePromptClass, isLongPrompt} from './prompt-class.js';
import {hashRendezvous, selectRendezvousSubset} from './rendezvous.js';

/** A backend server that can take the request: it is alive, not leaving, in service and not quarantined for the request. */
export type RoutingServer = {
	id: string;
	/** True when this entry issues the server's permits. */
	isOwned: boolean;
	/** Last known load; `loadAt` is the time at which it was received. */
	load?: LoadSnapshot | undefined;
	loadAt?: number | undefined;
	/** Prompt tokens that the server is assumed to hold in its prefix cache. */
	cachedTokens: number;
	/** KV memory in tokens, when known. */
	kvTokens?: number | undefined;
};

/** Input of `selectCandidates`. */
export type RoutingInput = {
	/** Key of the deterministic subset, usually the id of the entry. */
	subsetKey: string;
	/** Hash of the first prefix block; `undefined` for prompts below one block. */
	affinityKey?: string | undefined;
	/** Key that draws two servers at random for each request (power of two choices); usually the attempt id. */
	choiceKey: string;
	promptTokens: number;
	/** KV memory the request needs, in tokens. */
	kvTokens: number;
	/** All usable servers, or a precomputed subset (see `selectRendezvousSubset`), which avoids hashing every server of a large fleet. */
	servers: readonly RoutingServer[];
	/** Ids of servers already tried. */
	excluded: ReadonlySet<string>;
	/** Size of the long prompt pool, see `LongPromptPool`. */
	longPoolSize: number;
	/** Number of servers among which one entry chooses; 24 by default. */
	subsetSize?: number | undefined;
	now: number;
};

/** A backend server in order of preference. */
export type Candidate = {
	serverId: string;
	isOwned: boolean;
	/** Estimated prompt tokens that are not in the server's prefix cache. */
	prefillTokens: number;
	/** Class of the uncached part, see `computePromptClass`. */
	promptClass: number;
	/** Reason for the position: a cached prefix, ownership by this entry, or two choices by load. */
	cause: 'cached' | 'owned' | 'choice';
};

/** Rendezvous key of the long prompt pool; the same at all entries, so that they choose the same servers. */
const longPoolKey = 'long-prompt-pool';
const defaultSubsetSize = 24;
/** Load above which affinity and ownership no longer count, as a multiple of the mean of the candidates. */
const boundedLoadFactor = 1.25;
/** Load, as estimated time to first token in ms, that is always within the load bound. */
const acceptableLoadMs = 100;
/** Age in ms above which a known load is ignored. */
const loadMaxAgeMs = 5000;

/**
 * Fills in the KV memory of servers that have not reported it with the largest known value, since servers of one model are alike.
 * Otherwise a prompt that needs a group of servers is sent to a single server of unknown memory, which refuses it.
 */
export const applyAssumedMemory = (servers: readonly RoutingServer[]): RoutingServer[] => {
	const known = servers.flatMap(({kvTokens}) => kvTokens ?? []);
	const assumed = known.length === 0 ? undefined : Math.max(...known);
	return servers.map(server => server.kvTokens === undefined ? {...server, kvTokens: assumed} : server);
};

type ScoredServer = {server: RoutingServer; loadMs: number};

const estimateLoadMs = (server: RoutingServer, isLong: boolean, now: number): number | undefined => {
	if (server.load === undefined || now - (server.loadAt ?? now) > loadMaxAgeMs) {
		return undefined;
	}

	if (server.load.concurrencyLimit === 0) {
		return Number.POSITIVE_INFINITY;
	}

	return isLong ? server.load.longFirstTokenMs : server.load.shortFirstTokenMs;
};

const listScored = (servers: readonly RoutingServer[], isLong: boolean, now: number): ScoredServer[] => {
	const known = servers.map(server => estimateLoadMs(server, isLong, now));
	const finite = known.filter(load => load !== undefined && Number.isFinite(load)) as number[];
	const mean = finite.length === 0 ? 0 : finite.reduce((sum, load) => sum + load, 0) / finite.length;
	// A server of unknown load counts as average, so that it is neither flooded nor avoided.
	return servers.map((server, index) => ({server, loadMs: known[index] ?? mean}));
};

const computeLoadBound = (scored: readonly ScoredServer[]): number => {
	const finite = scored.filter(({loadMs}) => Number.isFinite(loadMs));
	const sum = finite.reduce((total, {loadMs}) => total + loadMs, 0);
	return Math.max(acceptableLoadMs, (boundedLoadFactor * sum) / Math.max(1, finite.length));
};

const selectEligible = (input: RoutingInput): RoutingServer[] => {
	const usable = input.servers.filter(server => !input.excluded.has(server.id)
		&& (server.kvTokens === undefined || input.kvTokens <= server.kvTokens));
	if (isLongPrompt(input.promptTokens)) {
		return selectRendezvousSubset(longPoolKey, usable, Math.max(1, input.longPoolSize));
	}

	const size = input.subsetSize ?? defaultSubsetSize;
	const owned = usable.filter(server => server.isOwned);
	if (usable.length <= size) {
		return usable;
	}

	const rest = usable.filter(server => !server.isOwned);
	return [...owned, ...selectRendezvousSubset(input.subsetKey, rest, Math.max(1, size - owned.length))];
};

/** Finds the server within the load bound that caches the longest prefix of the prompt. */
const findCached = (scored: readonly ScoredServer[], bound: number): ScoredServer | undefined => {
	let best: ScoredServer | undefined;
	for (const candidate of scored) {
		const tokens = candidate.loadMs <= bound ? candidate.server.cachedTokens : 0;
		if (tokens > (best?.server.cachedTokens ?? 0)) {
			best = candidate;
		}
	}

	return best;
};

const sortByRendezvousHash = (key: string, scored: readonly ScoredServer[]): ScoredServer[] => scored
	.map(candidate => ({candidate, hash: hashRendezvous(key, candidate.server.id)}))
	.toSorted((left, right) => right.hash - left.hash)
	.map(({candidate}) => candidate);

const computeLoadOrder = (left: ScoredServer, right: ScoredServer): number => left.loadMs - right.loadMs;

/**
 * Sorts the less loaded one of two servers first, then the other of the two, then all others by load.
 * The two are drawn by the hash of the prefix, so that all entries send a prefix to the same servers. When both are above
 * the load bound, they are drawn by the hash of the request instead.
 */
const sortByLoad = (input: RoutingInput, scored: readonly ScoredServer[], bound: number): ScoredServer[] => {
	const drawnByPrefix = input.affinityKey === undefined ? [] : sortByRendezvousHash(input.affinityKey, scored);
	const isAcceptable = drawnByPrefix.slice(0, 2).some(({loadMs}) => loadMs <= bound);
	const drawn = isAcceptable ? drawnByPrefix : sortByRendezvousHash(input.choiceKey, scored);
	return [...drawn.slice(0, 2).toSorted(computeLoadOrder), ...drawn.slice(2).toSorted(computeLoadOrder)];
};

const toCandidate = (input: RoutingInput, {server}: ScoredServer, cause: Candidate['cause']): Candidate => {
	const prefillTokens = Math.max(1, input.promptTokens - server.cachedTokens);
	return {
		serverId: server.id, isOwned: server.isOwned, prefillTokens, promptClass: computePromptClass(prefillTokens), cause,
	};
};

/**
 * Orders the backend servers for a request, best first.
 * Order: longest cached prefix within the load bound, owned servers within the load bound, two choices by prefix and load.
 */
export const selectCandidates = (input: RoutingInput): Candidate[] => {
	const isLong = isLongPrompt(input.promptTokens);
	const scored = listScored(selectEligible(input), isLong, input.now);
	const bound = computeLoadBound(scored);
	const cached = findCached(scored, bound);
	const first = cached === undefined ? [] : [toCandidate(input, cached, 'cached')];
	const others = sortByLoad(input, scored.filter(candidate => candidate !== cached), bound);
	const isOwnedWithinBound = ({server, loadMs}: ScoredServer) => server.isOwned && loadMs <= bound;
	const owned = others.filter(candidate => isOwnedWithinBound(candidate)).map(candidate => toCandidate(input, candidate, 'owned'));
	const rest = others.filter(candidate => !isOwnedWithinBound(candidate)).map(candidate => toCandidate(input, candidate, 'choice'));
	return [...first, ...owned, ...rest];
};
