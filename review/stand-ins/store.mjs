import {createServer} from 'node:http';
import {readBody, sendJson} from './http.mjs';

/** Stand-in for the platform's metadata store: lists, watches and conditional writes of objects by kind and name. */
export class Store {
	/** Calls of the entries that write: method, URL and body. */
	writes = [];
	#objects = new Map();
	#history = [];
	#revision = 1;
	#waiting = new Set();
	#server;

	async start(host) {
		this.#server = createServer((request, response) => {
			this.#serve(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}

	/** Writes an object as the operator or a runner does. */
	put(kind, name, spec) {
		return this.#write(kind, name, spec);
	}

	remove(kind, name) {
		const objects = this.#objects.get(kind);
		const object = objects?.get(name);
		if (object !== undefined) {
			this.#revision++;
			objects.delete(name);
			this.#record({
				revision: this.#revision, kind, object, removed: true,
			});
		}
	}

	list(kind) {
		return [...this.#objects.get(kind)?.values() ?? []];
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#write(kind, name, spec) {
		const objects = this.#objects.get(kind) ?? new Map();
		this.#objects.set(kind, objects);
		const known = objects.get(name);
		if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known;
		}

		this.#revision++;
		const object = {
			metadata: {
				name, revision: this.#revision, createdRev: known?.metadata.createdRev ?? this.#revision, finalizers: [], deleting: false,
			},
			spec,
			status: null,
		};
		objects.set(name, object);
		this.#record({
			revision: this.#revision, kind, object, removed: false,
		});
		return object;
	}

	#record(change) {
		this.#history.push(change);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #serve(request, response) {
		const body = await readBody(request);
		const url = new URL(request.url, 'http://store');
		const [kind, encodedName, part] = url.pathname.split('/').slice(3);
		const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
		if (request.method === 'GET') {
			await this.#read(url, {kind, name}, response);
			return;
		}

		this.writes.push({method: request.method, url: request.url, body: body.toString()});
		const known = name === undefined ? undefined : this.#objects.get(kind)?.get(name);
		const parsed = body.length > 0 ? JSON.parse(body.toString()) : {};
		if (request.method === 'POST') {
			this.#create(kind, parsed, response);
		} else if (known === undefined) {
			sendJson(response, 404, {});
		} else if (Number(parsed.metadata?.revision ?? url.searchParams.get('revision') ?? known.metadata.revision) !== known.metadata.revision) {
			sendJson(response, 409, known);
		} else if (request.method === 'DELETE') {
			this.remove(kind, name);
			sendJson(response, 200, known);
		} else {
			sendJson(response, 200, part === 'status' ? known : this.#write(kind, name, parsed.spec));
		}
	}

	#create(kind, {metadata: {name}, spec}, response) {
		const known = this.#objects.get(kind)?.get(name);
		if (known === undefined) {
			sendJson(response, 201, this.#write(kind, name, spec));
		} else {
			sendJson(response, 409, known);
		}
	}

	async #read(url, {kind, name}, response) {
		if (name !== undefined) {
			const object = this.#objects.get(kind)?.get(name);
			sendJson(response, object === undefined ? 404 : 200, object ?? {});
		} else if (url.searchParams.has('watch')) {
			await this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs') ?? 0), response);
		} else {
			sendJson(response, 200, {items: this.list(kind), more: false, storeRevision: this.#revision});
		}
	}

	async #watch(kind, after, waitMs, response) {
		const listEvents = () => this.#history.filter(change => change.kind === kind && change.revision > after);
		const deadline = Date.now() + waitMs;
		while (listEvents().length === 0 && Date.now() < deadline && !response.destroyed) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#waiting.delete(end);
					resolve();
				};

				const timer = setTimeout(end, deadline - Date.now());
				this.#waiting.add(end);
			});
		}

		sendJson(response, 200, {events: listEvents().map(({object, removed}) => ({object, removed})), storeRevision: this.#revision});
	}
}
