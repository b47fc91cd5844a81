import {
	computeRendezvousScore, computeRequestShare, spreadCandidates, type PlacementCandidate,
} from '@knapweedrack/core';
import type {Choice, PrepareCandidates} from './balance-run.js';

/** Number of servers of an entry's subset. */
const subsetSize = 12;
const hashRange = 2 ** 32;

const hashText = (text: string): number => {
	let hash = 7;
	for (const character of text) {
		hash = computeRendezvousScore(hash, character.codePointAt(0)!);
	}

	return hash;
};

const computeOrder = (chooser: string, serverId: string): number => computeRendezvousScore(hashText(chooser), hashText(serverId)) / hashRange;

/** Gives the candidates an order by a key; the lowest key is the first. */
const rankBy = (candidates: readonly PlacementCandidate[], getKey: (candidate: PlacementCandidate) => number): PlacementCandidate[] =>
	candidates
		.map(candidate => ({candidate, key: getKey(candidate)}))
		.toSorted((a, b) => a.key - b.key)
		.map(({candidate}, index) => ({...candidate, spreadOrder: index / candidates.length}));

/** Keeps a number of random candidates with a free slot, of which the cheapest is used. */
const sampleFree = (count: number): PrepareCandidates => ({candidates, profile, random}) => {
	const free = candidates.filter(({load}) => load.requests < profile.slots);
	return rankBy(free.length === 0 ? candidates : free, random).slice(0, count).map(candidate => ({...candidate, spreadOrder: 0}));
};

const orderRandomly: PrepareCandidates = ({candidates}) => candidates.map(candidate => ({...candidate, spreadOrder: candidate.orderShift}));

const orderBy = (getChooser: (entry: number, domain: number) => string): PrepareCandidates => ({candidates, entry, domain}) =>
	candidates.map(candidate => ({...candidate, spreadOrder: computeOrder(getChooser(entry, domain), candidate.id)}));

/** Moves aged figures toward their mean, since requests end and new ones are spread while a figure ages. */
const predictLoad: PrepareCandidates = context => {
	const {candidates, profile, getAged} = context;
	const mean = candidates.reduce((sum, {id}) => sum + getAged(id).requests, 0) / candidates.length;
	return orderRandomly({
		...context, candidates: candidates.map(candidate => {
			const {requests, ageMs = 0} = getAged(candidate.id);
			const change = (mean - requests) * (1 - Math.exp(-ageMs / (profile.meanAnswerTokens * profile.stepMs)));
			return {...candidate, load: {...candidate.load, requests: candidate.load.requests + change}};
		}),
	});
};

/** Leaves the last slots of a server to other domains, in an order of its own. */
const leaveSlots: PrepareCandidates = context => {
	const {candidates, domain, domains} = context;
	return orderRandomly({...context, candidates: candidates.map((candidate, index) => ({...candidate, sparedSlots: (domain + domains - (index % domains)) % domains}))});
};

/** The choice of the product. */
const spread: PrepareCandidates = ({candidates, domain, domains, profile, random, getAged}) => {
	const requests = candidates.reduce((sum, {load}) => sum + load.requests, 0);
	const agedRequests = candidates.reduce((sum, {id}) => sum + getAged(id).requests, 0);
	const place = {
		index: domain, count: domains, requestShare: computeRequestShare(domains, {requests, agedRequests}), servers: candidates.length,
	};
	const listed = candidates.map(candidate => ({...candidate, listIndex: Number(candidate.id.slice(1))}));
	return spreadCandidates(profile, listed, {place, random});
};

/** Choices that are compared, by name. */
export const choices = {
	today: {},
	'random server': {short: ({candidates, random}) => rankBy(candidates, random).slice(0, 1)},
	'best of two': {short: sampleFree(2)},
	'random order': {short: orderRandomly},
	'order per entry': {short: orderBy(entry => `entry ${entry}`)},
	'order per domain': {short: orderBy((_, domain) => `domain ${domain}`)},
	subset: {
		short: ({candidates, entry}) => rankBy(candidates, ({id}) => computeOrder(`entry ${entry}`, id))
			.map((candidate, index) => ({...candidate, spreadOrder: candidate.orderShift + (index < subsetSize ? 0 : 1)})),
	},
	'predicted load': {short: predictLoad},
	'share per server': {short: leaveSlots},
	'by free room': {
		short: ({candidates, profile, random}) => rankBy(candidates, ({load}) => -Math.log(1 - random()) / Math.max(0.01, profile.slots - load.requests)),
	},
	'home servers': {short: spread, long: spread},
} as const satisfies Record<string, Choice>;

export type ChoiceName = keyof typeof choices;
