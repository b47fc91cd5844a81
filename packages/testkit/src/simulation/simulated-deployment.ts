import {engineModelDefaults, type EngineModelOptions} from '../engine/engine-model.js';

/** Workspace that sends part of the simulated load. */
export type SimulatedWorkspace = {
	id: string;
	/** Weight of its share under contention, relative to the other workspaces. */
	weight: number;
	/** Rate of its requests, relative to the other workspaces. */
	demand: number;
};

/** Sizes and network delays of a simulated deployment. */
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

/** The deployments in production, with their numbers of instances, network delays and workspaces. */
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

/** Name of a simulated deployment, as the `--deployment` flag takes it. */
export type DeploymentName = keyof typeof simulatedDeployments;

/** Counts the backend servers in all failure domains. */
export const countServers = ({failureDomains}: SimulatedDeployment): number =>
	Object.values(failureDomains).reduce((sum, {servers}) => sum + servers, 0);

/** Prefill tokens per second of all backend servers together; a load of 1 offers this rate. */
export const computeCapacity = (deployment: SimulatedDeployment): number =>
	countServers(deployment) * deployment.engine.prefillTokensPerSecond;
