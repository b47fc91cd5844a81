import {spawn} from 'node:child_process';
import {appendFileSync, writeFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const root = path.resolve(import.meta.dirname, '../..');

/** Exit codes of a script. */
export const results = {held: 0, broken: 1, notRun: 2};

const children = new Set();

/** Starts a program that ends with this process at the latest. */
export const startProgram = (args, options) => {
	const child = spawn(process.execPath, args, options);
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
	return child;
};

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
// Node.js would end with 1 on an error, which means a broken rule here.
process.once('uncaughtException', error => {
	console.error(error);
	process.exit(results.notRun);
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
	process.once(signal, () => {
		process.exit(results.notRun);
	});
}

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Random numbers in [0, 1) that repeat with their seed. */
export const createRandom = seed => {
	let state = seed % 2_147_483_647;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return (state - 1) / 2_147_483_646;
	};
};

/** Writes one line for each thing that was sent, run or answered to `record.txt` of a case. */
export const openRecord = folder => {
	const file = path.join(folder, 'record.txt');
	writeFileSync(file, '');
	const startedAt = Date.now();
	return (event, fields = {}) => {
		appendFileSync(file, `${((Date.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}\n`);
	};
};

const findFreePort = async host => {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
};

/* eslint-disable camelcase -- Names of the platform. */
const bounds = {
	seedLagS: 3, reuseAfterS: 2, settleWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000,
	rollbackSlackMs: 250, maxSkewMs: 5000, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 104,
	coldLoadFactor: 1.5, coldSlack: 5, evacMs: 5000, recoverS: 12, passMs: 120, retryAfterS: 0, stall_ms: 1500, holdMaxMs: 20_000, freeMs: 4000,
	idleMaxMs: 9000, ttl_max_s: 5,
};
/* eslint-enable camelcase */

/** An entry of the system: the program of the deploy file as a process of its own. */
export class Entry {
	constructor({name, zone, store, record, host = '127.0.0.1'}) {
		Object.assign(this, {
			name, zone, store, record, host,
		});
	}

	async start({bootstrap = true} = {}) {
		this.ports ??= await Promise.all(Array.from({length: 6}, async () => findFreePort(this.host)));
		this.folder ??= await mkdtemp(path.join(tmpdir(), 'review-entry-'));
		const file = path.join(this.folder, 'boot.toml');
		await writeFile(file, this.#buildSettings(bootstrap));
		this.process = startProgram(['--max-old-space-size=200', 'target/knapweedrackd.mjs', '--metrics', `${this.ports[5]}/metrics`], {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, KNAPWEEDRACK_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.log = [];
		this.process.stdout.on('data', data => {
			this.log.push(String(data));
		});
		this.process.stderr.on('data', data => {
			this.log.push(String(data));
		});
		this.exit = new Promise(resolve => {
			this.process.on('exit', (code, signal) => {
				this.record('entry ended', {entry: this.name, code, signal});
				resolve();
			});
		});
		this.record('entry started', {entry: this.name, pid: this.process.pid, bootstrap});
	}

	/** Waits until the entry is ready; false when it is not within the limit. */
	async waitUntilReady(limitMs = 15_000) {
		const deadline = Date.now() + limitMs;
		while (Date.now() < deadline) {
			const {status} = await call({host: this.host, port: this.ports[1], path: '/-/ready'});
			if (status === 200) {
				return true;
			}

			if (this.process.exitCode !== null) {
				// Another program has taken one of the ports meanwhile.
				this.ports = undefined;
				await this.start();
			}

			await sleep(50);
		}

		return false;
	}

	get frontPort() {
		return this.ports[0];
	}

	kill(signal = 'SIGKILL') {
		if (this.process !== undefined && this.process.exitCode === null && this.process.signalCode === null) {
			this.process.kill(signal);
		}
	}

	async close() {
		this.kill();
		await this.exit;
		await rm(this.folder, {recursive: true, force: true});
	}

	#buildSettings(bootstrap) {
		const {name, zone, host, ports: [front, ready, directory, control, peer]} = this;
		return [
			`nodeName = "${name}"`,
			'role = "entry"',
			'machineClass = "edge"',
			'serves = ["edge","directory"]',
			`ip = "${host}"`,
			`zone = "${zone}"`,
			'region = "prairie"',
			`internalPorts = [${peer},${peer}]`,
			`seeds = ["${host}:${control}"]`,
			`bootstrap = ${bootstrap}`,
			'lossCounts = false',
			'discovery = "platform"',
			'entry = "directory"',
			'heartbeatMs = 1200',
			'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]',
			'[zones]',
			'north = "prairie"',
			'south = "prairie"',
			'[listen]',
			`front = "${host}:${front}"`,
			`ready = "${host}:${ready}"`,
			`control = "${host}:${control}"`,
			`directory = "${host}:${directory}"`,
			'[limits]',
			'cpuShare = 0.675',
			'cores = 1',
			'memoryMb = 350',
			'maxFds = 4100',
			'linkMbps = 1000.0',
			'diskMb = 0',
			'[faultTolerance]',
			'machines = 2',
			'zones = 1',
			'regions = 0',
			'[bounds]',
			...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
			'[platform]',
			`address = "${this.store.address}"`,
			'form = "objects"',
			'writesPerS = 400',
			'readsPerS = 2000',
			'historyS = 20',
			'valueBytes = 1048576',
			'ttlMinMs = 1000',
			'',
		].join('\n');
	}
}

/** Sends a request and reads its whole answer; status 0 when the connection ends before an answer. */
export const call = async ({host = '127.0.0.1', port, method = 'GET', path: target, headers = {}, body, agent = false, timeoutMs = 5000}) => new Promise(resolve => {
	const request = sendRequest({
		host, port, method, path: target, headers, agent,
	});
	const timer = setTimeout(() => {
		request.destroy(new Error('no answer in time'));
	}, timeoutMs);
	const finish = answer => {
		clearTimeout(timer);
		resolve(answer);
	};

	request.on('error', error => {
		finish({
			status: 0, error: error.code ?? error.message, headers: {}, text: '',
		});
	});
	request.on('response', response => {
		const parts = [];
		response.on('data', part => {
			parts.push(part);
		});
		response.on('close', () => {
			finish({
				status: response.statusCode, headers: response.headers, text: parts.join(''), isComplete: response.complete,
			});
		});
	});
	request.end(body);
});
