/* eslint-disable @typescript-eslint/naming-convention -- the names are those of the completions protocol */
// Measures the latency and CPU that an entry adds to a short request; the control tasks are replaced by a fixture
// that grants every permit. Usage: node --import=tsx --conditions=source packages/entry/scripts/measure-request-path.ts [requests]
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {CallerFixture, credential} from '../src/callers/caller-fixture.test.js';

const self = fileURLToPath(import.meta.url);
const model = 'truing-model';
const agent = new Agent({connections: 16, pipelining: 1});
const prompt = 'The left wheel of axle three shows a hollow tread of four millimetres. '.repeat(6);

type UsageReport = {address: string; cpuMicros?: number; storeCalls?: number};

const startChild = async (arguments_: string[]): Promise<{child: ChildProcess; ready: UsageReport}> => {
	const child = spawn(process.execPath, [...process.execArgv, ...arguments_], {stdio: ['pipe', 'pipe', 'inherit']});
	return {child, ready: await readUsageReport(child)};
};

const readUsageReport = async (child: ChildProcess): Promise<UsageReport> => {
	const [data] = await once(child.stdout!, 'data') as [Uint8Array];
	return JSON.parse(new TextDecoder().decode(data)) as UsageReport;
};

/** Runs the entry; prints its CPU time and its calls of the object API for each line of input. */
const runEntry = async (engineAddress: string): Promise<void> => {
	const fixture = await new CallerFixture().open({engines: [], hasService: true});
	fixture.addServer('engine-1', engineAddress, 'engine');
	const print = () => {
		const {user, system} = process.cpuUsage();
		process.stdout.write(`${JSON.stringify({address: fixture.server.address, cpuMicros: user + system, storeCalls: fixture.storeCalls.length})}\n`);
	};

	process.stdin.on('data', print).once('end', async () => fixture.close());
	print();
};

let count = 0;

const sendDirect = async (address: string): Promise<void> => {
	const id = `direct-${count++}`;
	const {body} = await request(`http://${address}/v1/generate`, {
		dispatcher: agent, method: 'POST', headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			requestId: id, attemptId: id, model, prompt, maxTokens: 8, priority: 1, deadlineInMs: 10_000,
		}),
	});
	await body.text();
};

const sendToEntry = async (address: string, path: string, body: Record<string, unknown>, headers: Record<string, string> = {}): Promise<void> => {
	const answer = await request(`http://${address}${path}`, {
		dispatcher: agent, method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${credential}`, ...headers},
		body: JSON.stringify(body),
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`status ${answer.statusCode}: ${text}`);
	}
};

const measure = async (run: () => Promise<void>): Promise<number> => {
	const start = performance.now();
	await run();
	return Math.round((performance.now() - start) * 1000);
};

const runClient = async (requests: number): Promise<void> => {
	const engine = await startChild([
		fileURLToPath(import.meta.resolve('@knapweedrack/testkit/engine-main')), '--time-scale', '1000', '--warm-after-requests', '0',
	]);
	const entry = await startChild([self, 'entry', engine.ready.address]);
	const {address} = entry.ready;
	const fetchUsage = async (): Promise<UsageReport> => {
		entry.child.stdin!.write('\n');
		return readUsageReport(entry.child);
	};

	const paths: Record<string, () => Promise<void>> = {
		direct: async () => sendDirect(engine.ready.address),
		whole: async () => sendToEntry(address, '/v1/completions', {model, prompt, max_tokens: 8}),

		streamed: async () => sendToEntry(address, '/v1/completions', {
			model, prompt, max_tokens: 8, stream: true,
		}),
		service: async () => sendToEntry(address, '/v1/services/work-orders/release', {order: 7}, {'idempotency-key': `key-${count++}`}),
	};
	const histograms = Object.fromEntries(Object.keys(paths).map(name => [name, build()]));
	// Rounds alternate between the paths, so that other load on the machine affects all of them equally.
	for (let round = -200; round < requests; round++) {
		for (const [name, run] of Object.entries(paths)) {
			const micros = await measure(run);
			if (round >= 0) {
				histograms[name]!.recordValue(micros);
			}
		}
	}

	for (const [name, histogram] of Object.entries(histograms)) {
		console.log(`${name}: median ${histogram.getValueAtPercentile(50)} us, p95 ${histogram.getValueAtPercentile(95)} us`);
	}

	for (const name of ['whole', 'streamed', 'service']) {
		const before = await fetchUsage();
		for (let index = 0; index < requests; index++) {
			await paths[name]!();
		}

		const after = await fetchUsage();
		console.log(`${name}: ${Math.round((after.cpuMicros! - before.cpuMicros!) / requests)} us of CPU and ${(after.storeCalls! - before.storeCalls!) / requests} store calls per request`);
	}

	entry.child.stdin!.end();
	engine.child.kill();
	await agent.close();
};

await (process.argv[2] === 'entry' ? runEntry(process.argv[3]!) : runClient(Number(process.argv[2] ?? 1000)));
