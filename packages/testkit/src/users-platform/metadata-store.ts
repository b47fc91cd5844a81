import {setTimeout as wait} from 'node:timers/promises';
import {
	closeConnection, findParameter, parseJson, readBody, sendJson, toRouteHandler, type Exchange,
} from '../http/exchange.js';
import {startListener} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';

/** One object as the metadata store of the hosting platform returns it. */
export type MetadataObject = {
	metadata: {name: string; revision: number; createdRev: number; finalizers: string[]; deleting: boolean};
	spec: unknown;
	status: unknown;
};

type Change = {revision: number; kind: string; object: MetadataObject; removed: boolean};

/** Faults of the store, which a test sets; each stays until the test changes it, except that `lostWriteAnswers` counts down. */
export type StoreFaults = {
	/** HTTP status of all answers; 0 closes the connection, -1 leaves calls without an answer, undefined is no fault. */
	status: number | undefined;
	/** Number of writes, from the next one on, that take effect but whose connection is closed without an answer. */
	lostWriteAnswers: number;
	/** True when watches report no events and no newer revision. */
	isWatchSilent: boolean;
};

/** A running store whose content and faults a test can change directly. */
export type MetadataStore = StandIn & {
	faults: StoreFaults;
	/** Method and URL of each call since the start, including watches that still wait. */
	calls: string[];
	put: (kind: string, name: string, spec: unknown) => void;
	remove: (kind: string, name: string) => void;
	getObject: (kind: string, name: string) => MetadataObject | undefined;
	/** Copies the content; the returned function makes the store come back from that copy, with the next era. */
	copy: () => () => void;
	/** Removes the history, so that watches from an older revision get status 410. */
	compact: () => void;
};

const bodyLimitBytes = 2_000_000;
const pollIntervalMs = 5;

/** Starts a stand-in for the metadata store of the hosting platform; `pageItems` is the most objects in one page of a list. */
export const startMetadataStore = async ({pageItems = 500}: {pageItems?: number} = {}): Promise<MetadataStore> => {
	const table = new StoreTable(pageItems);
	const serve = (handler: (exchange: Exchange) => Promise<void> | void) => toRouteHandler(async exchange => table.serve(exchange, handler));
	const listener = await startListener(0, router => {
		router.get('/-/objects/:kind', serve(async exchange => table.list(exchange)));
		router.get('/-/objects/:kind/:name', serve(exchange => {
			table.get(exchange);
		}));
		router.post('/-/objects/:kind', serve(async exchange => table.create(exchange)));
		router.put('/-/objects/:kind/:name', serve(async exchange => table.update(exchange)));
		router.delete('/-/objects/:kind/:name', serve(exchange => {
			table.delete(exchange);
		}));
	});
	return Object.assign(table, {
		address: listener.address,
		close: async () => listener.close(),
	});
};

class StoreTable {
	readonly faults: StoreFaults = {status: undefined, lostWriteAnswers: 0, isWatchSilent: false};
	readonly calls: string[] = [];
	readonly #objects = new Map<string, Map<string, MetadataObject>>();
	#history: Change[] = [];
	#oldestRevision = 0;
	#revision = 1;
	#era = 1;

	constructor(private readonly pageItems: number) {}

	put(kind: string, name: string, spec: unknown): MetadataObject {
		this.#revision++;
		const objects = this.#objects.get(kind) ?? new Map<string, MetadataObject>();
		const known = objects.get(name);
		const object: MetadataObject = {
			metadata: {
				name, revision: this.#revision, createdRev: known?.metadata.createdRev ?? this.#revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		objects.set(name, object);
		this.#objects.set(kind, objects);
		this.#history.push({
			revision: this.#revision, kind, object, removed: false,
		});
		return object;
	}

	remove(kind: string, name: string): void {
		const object = this.getObject(kind, name);
		if (object !== undefined) {
			this.#revision++;
			this.#objects.get(kind)?.delete(name);
			this.#history.push({
				revision: this.#revision, kind, object, removed: true,
			});
		}
	}

	getObject(kind: string, name: string): MetadataObject | undefined {
		return this.#objects.get(kind)?.get(name);
	}

	copy(): () => void {
		const objects = structuredClone(this.#objects);
		const history = [...this.#history];
		const revision = this.#revision;
		return () => {
			this.#objects.clear();
			for (const [kind, byName] of structuredClone(objects)) {
				this.#objects.set(kind, byName);
			}

			this.#history = [...history];
			this.#revision = revision;
			this.#era++;
		};
	}

	compact(): void {
		this.#history = [];
		this.#oldestRevision = this.#revision;
	}

	async serve(exchange: Exchange, handler: (exchange: Exchange) => Promise<void> | void): Promise<void> {
		const {request} = exchange;
		this.calls.push(`${request.method} ${request.url}`);
		exchange.response.setHeader('Store-Era', String(this.#era));
		const {status} = this.faults;
		if (status === undefined) {
			await this.#serveWrite(exchange, handler);
		} else if (status === 0) {
			closeConnection(exchange);
		} else if (status > 0) {
			sendJson(exchange, status, {});
		}
	}

	async list(exchange: Exchange): Promise<void> {
		const {kind = ''} = exchange.request.params;
		const watch = findParameter(exchange, 'watch');
		if (watch !== undefined) {
			await this.#watch(exchange, kind, {after: Number(watch), waitMs: Number(findParameter(exchange, 'waitMs') ?? 0)});
			return;
		}

		const after = findParameter(exchange, 'after') ?? '';
		const all = [...this.#objects.get(kind)?.values() ?? []]
			.filter(({metadata}) => metadata.name > after)
			.toSorted((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
		sendJson(exchange, 200, {items: all.slice(0, this.pageItems), more: all.length > this.pageItems, storeRevision: this.#revision});
	}

	get(exchange: Exchange): void {
		const {kind = '', name = ''} = exchange.request.params;
		const object = this.getObject(kind, name);
		sendJson(exchange, object === undefined ? 404 : 200, object ?? {});
	}

	async create(exchange: Exchange): Promise<void> {
		const {kind = ''} = exchange.request.params;
		const body = await readObject(exchange);
		const known = this.getObject(kind, body.metadata.name);
		sendJson(exchange, known === undefined ? 200 : 409, known ?? this.put(kind, body.metadata.name, body.spec));
	}

	async update(exchange: Exchange): Promise<void> {
		const {kind = '', name = ''} = exchange.request.params;
		const known = this.getObject(kind, name);
		const body = await readObject(exchange);
		if (known === undefined) {
			sendJson(exchange, 404, {});
			return;
		}

		const isConflict = body.metadata.revision !== undefined && body.metadata.revision !== known.metadata.revision;
		sendJson(exchange, isConflict ? 409 : 200, isConflict ? known : this.put(kind, name, body.spec));
	}

	delete(exchange: Exchange): void {
		const {kind = '', name = ''} = exchange.request.params;
		this.remove(kind, name);
		sendJson(exchange, 200, {});
	}

	async #serveWrite(exchange: Exchange, handler: (exchange: Exchange) => Promise<void> | void): Promise<void> {
		if (exchange.request.method === 'GET' || this.faults.lostWriteAnswers === 0) {
			await handler(exchange);
			return;
		}

		this.faults.lostWriteAnswers--;
		const {response} = exchange;
		// The handler applies the write; ending its answer closes the connection instead.
		response.end = (() => {
			closeConnection(exchange);
			return response;
		}) as typeof response.end;
		await handler(exchange);
	}

	async #watch(exchange: Exchange, kind: string, {after, waitMs}: {after: number; waitMs: number}): Promise<void> {
		const deadline = Date.now() + waitMs;
		for (;;) {
			if (after < this.#oldestRevision && !this.faults.isWatchSilent) {
				sendJson(exchange, 410, {});
				return;
			}

			const events = this.faults.isWatchSilent ? [] : this.#history.filter(change => change.kind === kind && change.revision > after);
			if (events.length > 0 || Date.now() >= deadline || exchange.request.destroyed) {
				sendJson(exchange, 200, {
					events: events.map(({object, removed}) => ({object, removed})), storeRevision: this.faults.isWatchSilent ? after : this.#revision,
				});
				return;
			}

			await wait(pollIntervalMs);
		}
	}
}

type ObjectBody = {metadata: {name: string; revision?: number}; spec: unknown};

const readObject = async (exchange: Exchange): Promise<ObjectBody> => {
	const body = await readBody(exchange, bodyLimitBytes);
	return parseJson(body?.toString('utf8') ?? '')?.value as ObjectBody;
};
