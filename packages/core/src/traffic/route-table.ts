import {UrgencyTable} from '../waiting/urgency.js';
import type {
	Route, Service, TrafficConfiguration, TrafficWorkspace,
} from './traffic-configuration.js';

/** Look-up tables over one version of the configuration. */
export class RouteTable {
	/** Routes by host, longest prefix first. */
	readonly #routes = new Map<string, Route[]>();
	readonly #services: Map<string, Service>;
	readonly #workspaces = new Map<string, TrafficWorkspace>();
	readonly #urgencies: UrgencyTable;

	constructor(readonly configuration: TrafficConfiguration) {
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			this.#routes.set(host, [...this.#routes.get(host) ?? [], route]);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		this.#urgencies = new UrgencyTable(configuration);
		for (const workspace of configuration.workspaces ?? []) {
			for (const credential of workspace.credentials) {
				this.#workspaces.set(credential, workspace);
			}
		}
	}

	/** True when requests on routes that are not public need a credential. */
	get isCredentialRequired(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/** Finds the route with the longest prefix of the path; `path` has no query. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routes.get(removePort(host.toLowerCase()))?.find(route => path.startsWith(route.prefix));
	}

	findService(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Urgency of a request, 0 to 9, 0 is the first; undefined for a service whose requests all have the same. */
	getUrgency(service: string, route: Route, workspaceName: string | undefined): number | undefined {
		return this.#urgencies.getUrgency(service, route, workspaceName);
	}

	findWorkspace(credential: string): TrafficWorkspace | undefined {
		return this.#workspaces.get(credential);
	}
}

const removePort = (host: string): string => host.replace(/:\d+$/v, '');
