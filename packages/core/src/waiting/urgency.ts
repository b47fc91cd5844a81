import type {Route, TrafficConfiguration} from '../traffic/traffic-configuration.js';

/** Least urgent value that backend servers distinguish. */
const lowestUrgency = 9;

/** Urgencies of the requests under one version of the configuration. */
export class UrgencyTable {
	/** Priorities by name of the workspace; empty where the workspaces do not differ, so that the priority of the route counts. */
	readonly #priorities: ReadonlyMap<string, number | undefined>;
	readonly #rankedServices: ReadonlySet<string>;

	constructor({routes, workspaces = []}: Pick<TrafficConfiguration, 'routes' | 'workspaces'>) {
		const isDiffering = new Set(workspaces.map(({priority}) => priority)).size > 1;
		this.#priorities = new Map(isDiffering ? workspaces.map(({name, priority}) => [name, priority]) : []);
		this.#rankedServices = this.#listRankedServices(routes);
	}

	/**
	 * Urgency of a request, 0 to 9, 0 is the first: the priority of its workspace, or of its route when the workspace has none; undefined
	 * for a service whose requests all have the same.
	 */
	getUrgency(service: string, route: Route, workspace: string | undefined): number | undefined {
		return this.#rankedServices.has(service) ? toUrgency(this.#getWorkspacePriority(workspace) ?? route.priority) : undefined;
	}

	#listRankedServices(routes: readonly Route[]): Set<string> {
		const priorities = new Set(this.#priorities.values());
		const urgencies = new Map<string, Set<number>>();
		for (const route of routes) {
			const ofRoute = route.isPublic || priorities.size === 0 ? [undefined] : [...priorities];
			for (const {service} of route.targets.filter(({weight}) => weight > 0)) {
				urgencies.set(service, new Set([...urgencies.get(service) ?? [], ...ofRoute.map(priority => toUrgency(priority ?? route.priority))]));
			}
		}

		return new Set([...urgencies].filter(([, values]) => values.size > 1).map(([service]) => service));
	}

	#getWorkspacePriority(workspace: string | undefined): number | undefined {
		return workspace === undefined ? undefined : this.#priorities.get(workspace);
	}
}

const toUrgency = (priority: number): number => Math.min(lowestUrgency, Math.max(0, Math.round(priority)));
