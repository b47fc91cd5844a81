import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	readFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'node:http';

const root = path.resolve(import.meta.dirname, '../..');

export const wait = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

export const waitUntil = async (condition, limitMs, what) => {
	const deadline = Date.now() + limitMs;
	while (!await condition()) {
		if (Date.now() > deadline) {
			throw new Error(`not within ${limitMs} ms: ${what}`);
		}

		await wait(20);
	}
};

export const findFreePort = async host => {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
};

/** The command of the role in the deploy file, with a free port for the metrics. */
const readCommand = metricsPort => {
	const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [program, ...args] = /^run = "(.*)"$/mv.exec(deploy)[1].split(' ');
	return {program, args: args.map(word => word.replace(/^\d+\/metrics$/v, `${metricsPort}/metrics`))};
};

/** One entry of the fleet, as the platform starts and restarts it. */
export class Entry {
	/** Ends of its processes that nobody asked for: code, signal and time. */
	ownEnds = [];
	child;
	#isWanted = false;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor(options) {
		Object.assign(this, options);
	}

	/** Selects ports and starts the process. */
	async start({isFirstStart = true} = {}) {
		if (this.ports === undefined) {
			this.ports = [];
			for (let index = 0; index < 5; index++) {
				this.ports.push(await findFreePort(this.host));
			}
		}

		const [front, ready, directory, metrics, internal] = this.ports;
		this.front = `${this.host}:${front}`;
		const file = path.join(this.#folder, 'boot.toml');
		writeFileSync(file, [
			`nodeName = "${this.name}"`,
			'role = "entry"',
			'machineClass = "edge"',
			'serves = ["edge", "directory"]',
			`ip = "${this.host}"`,
			`zone = "${this.zone}"`,
			'region = "home"',
			`internalPorts = [${internal}, ${internal}]`,
			`bootstrap = ${isFirstStart}`,
			'[zones]',
			'north = "home"',
			'south = "home"',
			'west = "home"',
			'[listen]',
			`front = "${this.host}:${front}"`,
			`ready = "${this.host}:${ready}"`,
			`directory = "${this.host}:${directory}"`,
			'[limits]',
			'memoryMb = 350',
			'[bounds]',
			...Object.entries(this.bounds).map(([name, value]) => `${name} = ${String(value)}`),
			'[platform]',
			`address = "${this.storeAddress}"`,
			'form = "objects"',
			'',
		].join('\n'));
		const {program, args} = readCommand(metrics);
		this.#isWanted = true;
		const child = spawn(program, args, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, KNAPWEEDRACK_SETTINGS: file},
		});
		this.child = child;
		this.log ??= [];
		child.stdout.on('data', text => {
			this.log.push(String(text));
		});
		child.stderr.on('data', text => {
			this.log.push(String(text));
		});
		child.on('exit', (code, signal) => {
			if (this.#isWanted && this.child === child) {
				this.ownEnds.push({code, signal});
				this.record(`${this.name} ended by itself: code ${code}, signal ${signal}`);
				setTimeout(() => {
					if (this.#isWanted) {
						this.start({isFirstStart: false});
					}
				}, 500);
			}
		});
	}

	/** Status of the readiness check; 0 without an answer. */
	async fetchReadiness() {
		return new Promise(resolve => {
			const call = request({
				host: this.host, port: this.ports[1], path: '/-/ready', timeout: 1000, agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			call.on('timeout', () => {
				call.destroy();
			});
			call.on('error', () => {
				resolve(0);
			});
			call.end();
		});
	}

	async waitUntilReady(limitMs = 10_000) {
		await waitUntil(async () => await this.fetchReadiness() === 200, limitMs, `${this.name} is ready`);
	}

	/** Ends the process with a signal that the script sends; it is not started again. */
	async end(signal = 'SIGKILL') {
		this.#isWanted = false;
		const {child} = this;
		if (child !== undefined && child.exitCode === null && child.signalCode === null) {
			child.kill(signal);
			await once(child, 'exit');
		}
	}

	async close() {
		await this.end();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}
