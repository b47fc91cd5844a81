import {engineModelDefaults, type EngineModelOptions} from '../engine/engine-model.js';

/** A workspace of the load. */
export type SimulatedWorkspace = {
	id: string;
	/** Share under contention, from the plan. */
	weight: number;
	/** Part of the requests that it sends, relative to the others. */
	demand: number;
};

/** Sizes and delays of a deployment, see section 1.1 of the design page. */
export type SimulatedDeployment = {
	name: string;
	model: string;
	/** Numbers of backend servers and entries by failure domain. */
	failureDomains: Readonly<Record<string, {servers: number; entries: number}>>;
	/** One-way delays in ms. */
	delays: {betweenDomainsMs: number; withinDomainMs: number; fromCallerMs: number};
	engine: EngineModelOptions;
	workspaces: readonly SimulatedWorkspace[];
};

const withinDomainMs = 0.2;
const largeDemand = 8;

const buildWorkspaces = (large: readonly string[], small: readonly string[]): SimulatedWorkspace[] => [
	...large.map(id => ({id, weight: 4, demand: largeDemand})),
	...small.map(id => ({id, weight: 1, demand: 1})),
];

/** Deployments that run today. */
export const simulatedDeployments = {
	prairie: {
		name: 'prairie',
		model: 'truing-model',
		failureDomains: {
			regina: {servers: 5, entries: 3}, saskatoon: {servers: 5, entries: 3}, 'moose-jaw': {servers: 5, entries: 2},
		},
		delays: {betweenDomainsMs: 1.5, withinDomainMs, fromCallerMs: 1},
		engine: engineModelDefaults,
		workspaces: buildWorkspaces(
			['great-plains-shortline', 'qu-appelle-valley-rail', 'carlton-trail-railway'],
			['assiniboia-grain-line', 'last-mountain-railway', 'thunder-rail', 'wheatland-spur', 'souris-valley-tramway', 'moose-mountain-line', 'red-coat-railroad'],
		),
	},
	'kerala-coast': {
		name: 'kerala-coast',
		model: 'fibre-scribe',
		failureDomains: {
			alappuzha: {servers: 7, entries: 3}, kochi: {servers: 7, entries: 2}, kollam: {servers: 6, entries: 2},
		},
		delays: {betweenDomainsMs: 0.5, withinDomainMs, fromCallerMs: 3},
		engine: engineModelDefaults,
		workspaces: buildWorkspaces(
			['vembanad-marine', 'cochin-moorings', 'quilon-deep-sea'],
			['backwater-ferries', 'cherthala-twine', 'neendakara-trawlers', 'vypin-dredging', 'ashtamudi-coir', 'fort-kochi-chandlers', 'mattancherry-hawsers'],
		),
	},
} as const satisfies Record<string, SimulatedDeployment>;

/** Name of a deployment of the bench. */
export type DeploymentName = keyof typeof simulatedDeployments;

/** Number of backend servers. */
export const countServers = ({failureDomains}: SimulatedDeployment): number =>
	Object.values(failureDomains).reduce((sum, {servers}) => sum + servers, 0);

/** Prefill tokens per second of all backend servers, which is 100% load. */
export const computeCapacity = (deployment: SimulatedDeployment): number =>
	countServers(deployment) * deployment.engine.prefillTokensPerSecond;
