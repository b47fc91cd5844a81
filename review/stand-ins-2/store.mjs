import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const readJson = async request => {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}

	return JSON.parse(Buffer.concat(parts).toString('utf8') || '{}');
};

const send = (response, status, body) => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
};

/** Stand-in for the platform's store: objects by kind and name, one revision counter, and watches that wait. */
export class Store {
	#objects = new Map();
	#history = [];
	#revision = 1;
	#waiting = new Set();
	#server = createServer((request, response) => {
		this.#serve(request, response);
	});

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.#server.keepAliveTimeout = 30_000;
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	/** Writes an object; returns its new revision. */
	put(kind, name, spec, {finalizers = []} = {}) {
		const known = this.#get(kind, name);
		this.#revision++;
		const object = {
			metadata: {
				name, revision: this.#revision, createdRev: known?.metadata.createdRev ?? this.#revision, finalizers, deleting: false,
			}, spec, status: known?.status ?? null,
		};
		this.#kind(kind).set(name, object);
		this.#record(kind, object, false);
		return object;
	}

	remove(kind, name) {
		const object = this.#get(kind, name);
		if (object !== undefined) {
			this.#revision++;
			this.#kind(kind).delete(name);
			this.#record(kind, object, true);
		}
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#kind(kind) {
		const objects = this.#objects.get(kind) ?? new Map();
		this.#objects.set(kind, objects);
		return objects;
	}

	#get(kind, name) {
		return this.#kind(kind).get(name);
	}

	#record(kind, object, removed) {
		this.#history.push({
			revision: this.#revision, kind, object, removed,
		});
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #serve(request, response) {
		const url = new URL(request.url, 'http://store');
		const [kind = '', name] = url.pathname.replace('/-/objects/', '').split('/').map(part => decodeURIComponent(part));
		const body = request.method === 'GET' ? undefined : await readJson(request);
		const handlers = {
			GET: () => name === undefined ? this.#list(kind, url.searchParams, response) : this.#sendObject(kind, name, response),
			POST: () => this.#create(kind, body, response),
			PUT: () => this.#replace(kind, name, body, response),
			DELETE: () => this.#delete(kind, name, url.searchParams.get('revision'), response),
		};
		await handlers[request.method]();
	}

	#sendObject(kind, name, response) {
		const object = this.#get(kind, name);
		send(response, object === undefined ? 404 : 200, object ?? {});
	}

	#create(kind, {metadata, spec}, response) {
		const known = this.#get(kind, metadata.name);
		send(response, known === undefined ? 200 : 409, known ?? this.put(kind, metadata.name, spec, metadata));
	}

	#replace(kind, name, {metadata = {}, spec}, response) {
		const known = this.#get(kind, name);
		if (known === undefined) {
			send(response, 404, {});
		} else if (metadata.revision !== undefined && metadata.revision !== known.metadata.revision) {
			send(response, 409, known);
		} else {
			send(response, 200, this.put(kind, name, spec, metadata));
		}
	}

	#delete(kind, name, revision, response) {
		const known = this.#get(kind, name);
		if (known !== undefined && revision !== null && Number(revision) !== known.metadata.revision) {
			send(response, 409, known);
			return;
		}

		this.remove(kind, name);
		send(response, known === undefined ? 404 : 200, {});
	}

	async #list(kind, query, response) {
		if (!query.has('watch')) {
			const after = query.get('after') ?? '';
			const items = [...this.#kind(kind).values()].filter(({metadata}) => metadata.name > after).toSorted((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
			send(response, 200, {items: items.slice(0, 500), more: items.length > 500, storeRevision: this.#revision});
			return;
		}

		const after = Number(query.get('watch'));
		const listEvents = () => this.#history.filter(change => change.kind === kind && change.revision > after);
		if (listEvents().length === 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (listEvents().length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0));
				this.#waiting.add(wake);
				response.once('close', finish);
			});
		}

		send(response, 200, {events: listEvents().map(({object, removed}) => ({object, removed})), storeRevision: this.#revision});
	}
}
