import {prefixBlockTokens} from '../prefix/index.js';
import {hashRendezvous} from '../routing/index.js';
import {createError, createOk, type Result} from '../types/index.js';

/** An engine that can be a member of a group. */
export type GroupServer = {
	id: string;
	failureDomain: string;
	/** Free KV cache memory in tokens, from the last known load. */
	kvTokensFree: number;
	/** Largest segment in tokens that the current warm-up level allows. */
	maxSegmentTokens: number;
};

/** One engine of a group and the segment of the prompt that it reads. */
export type GroupMember = {
	serverId: string;
	/** Position of the segment in the prompt, from 0. */
	index: number;
	startToken: number;
	tokens: number;
	/** KV cache tokens to reserve; for the last segment, this includes the generated tokens. */
	kvTokens: number;
};

/** Members of a group, in order of their segments, all in one failure domain. */
export type GroupPlan = {failureDomain: string; members: GroupMember[]};

/** Input of `selectGroup`. */
export type GroupInput = {
	promptTokens: number;
	/** Largest number of generated tokens. */
	maxTokens: number;
	servers: readonly GroupServer[];
	excluded?: ReadonlySet<string> | undefined;
	maxMembers?: number | undefined;
	/** Key of the hash that breaks ties, so that groups spread over equal engines and failure domains; usually the request id. */
	choiceKey?: string | undefined;
};

/** Segments end on prefix block boundaries, so that engines can share cached blocks. */
const blockTokens = prefixBlockTokens;
const defaultMaxMembers = 8;
/** Largest share of a member's segment limit that a segment takes if enough members are available; the rest is left to short prompts. */
const maxSegmentShare = 0.75;

type GroupCandidate = {failureDomain: string; servers: GroupServer[]};

const computeCapacity = (server: GroupServer): number =>
	Math.floor(Math.min(server.kvTokensFree, server.maxSegmentTokens) / blockTokens) * blockTokens;

const limitSegmentTokens = (server: GroupServer): GroupServer => ({
	...server, maxSegmentTokens: server.maxSegmentTokens * maxSegmentShare,
});

const selectMembers = (failureDomain: string, servers: GroupServer[], input: GroupInput): GroupCandidate | undefined => {
	const neededTokens = input.promptTokens + input.maxTokens;
	const hashed = servers.map(server => ({server, hash: hashRendezvous(input.choiceKey ?? '', server.id)}));
	const sorted = hashed
		.toSorted((left, right) => computeCapacity(right.server) - computeCapacity(left.server) || right.hash - left.hash)
		.map(({server}) => server);
	const members: GroupServer[] = [];
	let capacity = 0;
	// Segments are whole blocks, so `splitPrompt` can leave almost two blocks to the last member even if the others have room.
	// The last member also holds the generated tokens.
	if (sorted[0] === undefined || computeCapacity(sorted[0]) < (2 * blockTokens) + input.maxTokens) {
		return undefined;
	}

	for (const server of sorted.slice(0, input.maxMembers ?? defaultMaxMembers)) {
		members.push(server);
		capacity += computeCapacity(server);
		if (capacity >= neededTokens) {
			return {failureDomain, servers: members};
		}
	}

	return undefined;
};

/** Splits the prompt over the members. The one with the most memory takes the last segment and with it the generated tokens. */
const splitPrompt = (candidate: GroupCandidate, input: GroupInput): GroupMember[] => {
	const [last, ...others] = candidate.servers as [GroupServer, ...GroupServer[]];
	const members: GroupMember[] = [];
	let startToken = 0;
	for (const server of others.toSorted((left, right) => left.id < right.id ? -1 : 1)) {
		const availableTokens = Math.floor((input.promptTokens - startToken - blockTokens) / blockTokens) * blockTokens;
		const tokens = Math.min(computeCapacity(server), Math.max(0, availableTokens));
		if (tokens > 0) {
			members.push({
				serverId: server.id, index: members.length, startToken, tokens, kvTokens: tokens,
			});
			startToken += tokens;
		}
	}

	const tokens = input.promptTokens - startToken;
	return [...members, {
		serverId: last.id, index: members.length, startToken, tokens, kvTokens: tokens + input.maxTokens,
	}];
};

/**
 * Prefers fewer members, then the higher hash. Comparing free memory instead would send the groups of all entries to
 * the same failure domain, because entries see load changes with a delay.
 */
const isPreferred = (left: GroupCandidate, right: GroupCandidate, choiceKey: string): boolean => left.servers.length === right.servers.length
	? hashRendezvous(choiceKey, left.failureDomain) > hashRendezvous(choiceKey, right.failureDomain)
	: left.servers.length < right.servers.length;

/**
 * Selects the fewest engines of one failure domain whose memory holds the prompt and its answer, and splits the prompt.
 * A first pass limits segments to `maxSegmentShare`, because short prompts on an engine without free memory wait until
 * the group ends. If that finds no group, a second pass uses whole engines.
 */
export const selectGroup = (input: GroupInput): Result<GroupPlan, 'group_unavailable'> => {
	const partialPlan = selectSmallestGroup({...input, servers: input.servers.map(server => limitSegmentTokens(server))});
	return partialPlan.ok ? partialPlan : selectSmallestGroup(input);
};

const selectSmallestGroup = (input: GroupInput): Result<GroupPlan, 'group_unavailable'> => {
	const domains = new Map<string, GroupServer[]>();
	for (const server of input.servers) {
		if (!input.excluded?.has(server.id) && computeCapacity(server) > 0) {
			domains.set(server.failureDomain, [...domains.get(server.failureDomain) ?? [], server]);
		}
	}

	let best: GroupCandidate | undefined;
	for (const [failureDomain, servers] of domains) {
		const candidate = selectMembers(failureDomain, servers, input);
		if (candidate !== undefined && (best === undefined || isPreferred(candidate, best, input.choiceKey ?? ''))) {
			best = candidate;
		}
	}

	return best === undefined
		? createError('group_unavailable')
		: createOk({failureDomain: best.failureDomain, members: splitPrompt(best, input)});
};
