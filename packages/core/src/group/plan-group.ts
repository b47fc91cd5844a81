import {prefixBlockTokens} from '../prefix/index.js';
import {hashRendezvous} from '../routing/index.js';
import {createError, createOk, type Result} from '../types/index.js';

/** An engine that may take part in a group. */
export type GroupServer = {
	id: string;
	failureDomain: string;
	/** KV memory in tokens that is free as far as known. */
	kvTokensFree: number;
	/** Largest segment in tokens at the present warm-up level. */
	maxSegmentTokens: number;
};

/** One member and its part of the prompt. */
export type GroupMember = {
	serverId: string;
	/** Position of the segment in the prompt, from 0. */
	index: number;
	startToken: number;
	tokens: number;
	/** KV memory to reserve; the last segment includes the generated tokens. */
	kvTokens: number;
};

/** Members in order of their segments. */
export type GroupPlan = {failureDomain: string; members: GroupMember[]};

/** Facts from which the members of a group are chosen. */
export type GroupInput = {
	promptTokens: number;
	/** Largest number of generated tokens. */
	maxTokens: number;
	servers: readonly GroupServer[];
	excluded?: ReadonlySet<string> | undefined;
	maxMembers?: number | undefined;
	/** Spreads groups over engines with equal memory; usually the request id. */
	choiceKey?: string | undefined;
};

/** Segments end on prefix block boundaries, so that engines can share their blocks. */
const blockTokens = prefixBlockTokens;
const defaultMaxMembers = 8;
/** Largest part of a member's memory that a segment takes when enough members are there; the rest is left to short prompts. */
const maxSegmentShare = 0.75;

type GroupCandidate = {failureDomain: string; servers: GroupServer[]};

const computeCapacity = (server: GroupServer): number =>
	Math.floor(Math.min(server.kvTokensFree, server.maxSegmentTokens) / blockTokens) * blockTokens;

const limitSegmentTokens = (server: GroupServer): GroupServer => ({
	...server, maxSegmentTokens: server.maxSegmentTokens * maxSegmentShare,
});

const selectMembers = (failureDomain: string, servers: GroupServer[], input: GroupInput): GroupCandidate | undefined => {
	const needed = input.promptTokens + input.maxTokens;
	const hashed = servers.map(server => ({server, hash: hashRendezvous(input.choiceKey ?? '', server.id)}));
	const sorted = hashed
		.toSorted((left, right) => computeCapacity(right.server) - computeCapacity(left.server) || right.hash - left.hash)
		.map(({server}) => server);
	const members: GroupServer[] = [];
	let capacity = 0;
	if (sorted[0] === undefined || computeCapacity(sorted[0]) < (2 * blockTokens) + input.maxTokens) {
		return undefined;
	}

	for (const server of sorted.slice(0, input.maxMembers ?? defaultMaxMembers)) {
		members.push(server);
		capacity += computeCapacity(server);
		if (capacity >= needed) {
			return {failureDomain, servers: members};
		}
	}

	return undefined;
};

/** The member with the most memory takes the last segment, because it also holds the generated tokens. */
const splitPrompt = (choice: GroupCandidate, input: GroupInput): GroupMember[] => {
	const [last, ...others] = choice.servers as [GroupServer, ...GroupServer[]];
	const members: GroupMember[] = [];
	let startToken = 0;
	for (const server of others.toSorted((left, right) => left.id < right.id ? -1 : 1)) {
		const room = Math.floor((input.promptTokens - startToken - blockTokens) / blockTokens) * blockTokens;
		const tokens = Math.min(computeCapacity(server), Math.max(0, room));
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

/** Loads are known late, so that the domain with the most memory would attract the groups of all entries at once. */
const isPreferred = (left: GroupCandidate, right: GroupCandidate, choiceKey: string): boolean => left.servers.length === right.servers.length
	? hashRendezvous(choiceKey, left.failureDomain) > hashRendezvous(choiceKey, right.failureDomain)
	: left.servers.length < right.servers.length;

/**
 * Chooses the fewest engines of one failure domain that hold the prompt and its answer, and splits the prompt.
 * Whole engines are taken only where parts of them do not suffice: without memory, short prompts wait until the group ends.
 */
export const selectGroup = (input: GroupInput): Result<GroupPlan, 'group_unavailable'> => {
	const shared = selectSmallestGroup({...input, servers: input.servers.map(server => limitSegmentTokens(server))});
	return shared.ok ? shared : selectSmallestGroup(input);
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
		const choice = selectMembers(failureDomain, servers, input);
		if (choice !== undefined && (best === undefined || isPreferred(choice, best, input.choiceKey ?? ''))) {
			best = choice;
		}
	}

	return best === undefined
		? createError('group_unavailable')
		: createOk({failureDomain: best.failureDomain, members: splitPrompt(best, input)});
};
