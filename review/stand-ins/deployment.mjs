import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Entry, wait} from './entries.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

export const host = 'yard.example';
export const key = 'key-1';
export const tenant = 'mill';

/** Bounds and engines of `sites/brandvold-yard.toml`, with the names of the settings file and of the configuration. */
export const {bounds, engine} = JSON.parse(readFileSync(new URL('site.json', import.meta.url), 'utf8'));
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
};

export const buildRoute = changes => ({
	name: changes.pathPrefix, host, kind: 'safe', timeoutMs: 10_000, targetLatencyMs: 300, priority: 1, public: false, maxAttempts: 2, ...changes,
});

export const buildConfiguration = ({version = 3, routes, services, tenants = [{name: tenant, apiKeys: [key]}]}) => ({
	version, routes, services, limits, tenants,
});

export const buildService = changes => ({
	healthPath: '/health', maxConns: 110, coldPerS: 0, ...changes,
});

/** Whether the disruption of a script is played; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A store, runners and entries on loopback addresses, and the record of what happens. */
export class Deployment {
	store = new Store();
	runners = [];
	entries = [];
	/** Links of entries to the store that a script has put between them. */
	links = [];
	#lines = [];
	#startedAt = Date.now();

	constructor(folder) {
		this.folder = folder;
		this.record = text => {
			this.#lines.push(`${((Date.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}`);
		};
	}

	async startStore(configuration) {
		await this.store.start('127.0.0.1');
		this.store.put('config', 'main', configuration);
	}

	async addRunner(options, changes) {
		const runner = new Runner({zone: 'north', host: '127.0.0.1', ...options});
		await runner.start();
		this.runners.push(runner);
		this.store.put('servers', runner.id, runner.describe(changes));
		return runner;
	}

	/** Starts entries; each has a loopback address of its own. */
	async startEntries(count, changes = {}) {
		for (let index = 0; index < count; index++) {
			this.entries.push(new Entry({
				name: `edge-north-${index + 1}`, host: `127.0.0.${index + 11}`, zone: 'north', storeAddress: this.store.address, bounds, record: this.record, ...changes,
			}));
		}

		await Promise.all(this.entries.map(async entry => entry.start()));
		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
		await wait(1500);
	}

	async close() {
		await Promise.all(this.entries.map(async entry => entry.close()));
		for (const part of [...this.runners, ...this.links, this.store]) {
			part.close();
		}

		writeFileSync(`${this.folder}/record.txt`, `${this.#lines.join('\n')}\n`);
	}
}

/** Runs a script: exits with 1 when `play` returns a broken rule, 0 when it returns none, and 2 when it throws. */
export const runScript = async (folder, play) => {
	const deployment = new Deployment(folder);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, async () => {
			deployment.record(`the script was ended by ${signal}`);
			await deployment.close();
			process.exit(2);
		});
	}

	deployment.record(`the disruption is ${hasTrouble ? 'played' : 'left out'}`);
	let code = 2;
	try {
		const broken = await play(deployment);
		deployment.record(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
		code = broken === undefined ? 0 : 1;
	} catch (error) {
		deployment.record(`the case could not run: ${error.stack}`);
	}

	await deployment.close();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

export {Entry, wait, waitUntil} from './entries.mjs';
export {StoreLink} from './store-link.mjs';
export {CallerConnection, sendRequest} from './client.mjs';
export {answerPlain, answerStream} from './runner.mjs';
