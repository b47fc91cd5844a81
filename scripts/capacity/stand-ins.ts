import {createHash} from 'node:crypto';
import type {
	BackendServerDescription, Configuration, Plan, SessionRecord,
} from '@knapweedrack/core';

const regions = 3;
const domainsPerRegion = 4;

/** Measures the time per call in µs as the mean of the faster half of the rounds, because other load on the machine slows single rounds. */
export const measureMicros = (rounds: number, callsPerRound: number, run: (call: number) => void): number => {
	const times: number[] = [];
	for (let round = 0; round < rounds; round++) {
		const startedAt = performance.now();
		for (let call = 0; call < callsPerRound; call++) {
			run((round * callsPerRound) + call);
		}

		times.push(((performance.now() - startedAt) * 1000) / callsPerRound);
	}

	times.sort((left, right) => left - right);
	const best = times.slice(0, Math.ceil(rounds / 2));
	return Number((best.reduce((sum, time) => sum + time, 0) / best.length).toFixed(2));
};

const createLocation = (index: number) => {
	const region = index % regions;
	const domain = Math.floor(index / regions) % domainsPerRegion;
	return {region: `region-${region}`, failureDomain: `domain-${region}-${domain}`};
};

/** Creates the session record of the entry with a number; consecutive entries are in different regions. */
export const createSession = (index: number, renewal = 0): SessionRecord => ({
	entryId: `entry-${index}`, epoch: `epoch-${index}-0123456789abcdef`, callerAddress: `10.0.0.${index}:8080`, peerAddress: `10.0.0.${index}:9090`,
	...createLocation(index), state: 'serving', configurationRevision: 1400, availabilityRevision: 20, renewal,
});

/** Creates engines that are spread over all failure domains and four models. */
export const createServers = (count: number): BackendServerDescription[] => Array.from({length: count}, (_, index) => ({
	id: `engine-${index}`, address: `10.1.0.${index}:8000`, kind: 'engine', failureDomain: createLocation(index).failureDomain, serves: `model-${index % 4}`, state: 'live',
}));

const createPlan = (index: number): Plan => ({
	id: `plan-${index}`, models: ['model-0', 'model-1'], services: ['work-orders'], failureDomains: ['domain-0-0', 'domain-0-1'],
	requestsPerSecond: 100, tokensPerSecond: 1_000_000, concurrency: 400, longestPromptTokens: 1_000_000,
	firstTokenTargets: [{upToTokens: 4000, targetMs: 610}, {targetMs: 5000}], deadlineMs: 60_000, share: 1,
});

/** Hashes a text with SHA-256; returns hex digits. */
export const hashDigest = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Creates a configuration with 20 plans, to which the workspaces are assigned in turn. */
export const createConfiguration = (workspaces: number): Configuration => ({
	revision: 1,
	plans: Array.from({length: 20}, (_, index) => createPlan(index)),
	services: [{name: 'work-orders', idempotentMethods: ['GET']}],
	workspaces: Array.from({length: workspaces}, (_, index) => ({
		id: `workspace-${index}`, plan: `plan-${index % 20}`, fleet: 'design', credentialDigests: [`sha256:${hashDigest(String(index))}`],
	})),
});
