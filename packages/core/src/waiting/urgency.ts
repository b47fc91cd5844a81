import type {Route, TrafficConfiguration} from '../traffic/traffic-configuration.js';

/** Least urgent value that backend servers distinguish. */
const lowestUrgency = 9;

/** Urgency of a request, 0 to 9, 0 is the first: the priority of its workspace, or of its route when the workspace has none. */
export const computeUrgency = (routePriority: number, workspacePriority: number | undefined): number =>
	Math.min(lowestUrgency, Math.max(0, Math.round(workspacePriority ?? routePriority)));

/** Lists the services whose requests can have more than one urgency. */
export const listRankedServices = (configuration: TrafficConfiguration): Set<string> => {
	const urgencies = new Map<string, Set<number>>();
	for (const route of configuration.routes) {
		const ofRoute = listUrgencies(route, configuration.workspaces);
		for (const {service} of route.targets.filter(({weight}) => weight > 0)) {
			urgencies.set(service, new Set([...urgencies.get(service) ?? [], ...ofRoute]));
		}
	}

	return new Set([...urgencies].filter(([, values]) => values.size > 1).map(([service]) => service));
};

const listUrgencies = (route: Route, workspaces: TrafficConfiguration['workspaces']): number[] =>
	workspaces === undefined || route.isPublic
		? [computeUrgency(route.priority, undefined)]
		: workspaces.map(({priority}) => computeUrgency(route.priority, priority));
