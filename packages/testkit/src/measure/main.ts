import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Agent} from 'undici';
import {EngineModel, engineModelDefaults} from '../engine/engine-model.js';
import {ProcessGroup} from '../process-group/process-group.js';

/** Measures the throughput of the stand-ins, so that a load test can tell their limits from those of the system under test. */

const callDurationMs = 3000;
const connections = 16;

/** Repeats a call on `connections` connections for `callDurationMs`; returns calls per second. */
const measureCalls = async (run: (agent: Agent, index: number) => Promise<void>): Promise<number> => {
	const agent = new Agent({connections});
	const startedAt = performance.now();
	const endsAt = startedAt + callDurationMs;
	let calls = 0;
	await Promise.all(Array.from({length: connections}, async (_, index) => {
		while (performance.now() < endsAt) {
			await run(agent, index);
			calls += 1;
		}
	}));
	await agent.close();
	return Math.round(calls * 1000 / (performance.now() - startedAt));
};

const measurePlatform = async (group: ProcessGroup): Promise<Record<string, number>> => {
	const {ready} = await group.start({
		id: 'platform',
		module: '@knapweedrack/testkit/platform-main',
		args: ['--delay-ms', '0', '--reads-per-second', '1000000', '--writes-per-second', '1000000'],
	});
	const origin = `http://${ready.address}`;
	const send = async (agent: Agent, method: 'GET' | 'PUT', index: number): Promise<void> => {
		const {body} = await agent.request({
			origin, path: `/v1/objects/sessions/entry-${index}`, method, ...(method === 'PUT' ? {body: JSON.stringify({renewal: index})} : {}),
		});
		await body.dump();
	};

	return {
		platformWritesPerSecond: await measureCalls(async (agent, index) => send(agent, 'PUT', index)),
		platformReadsPerSecond: await measureCalls(async (agent, index) => send(agent, 'GET', index)),
	};
};

const measureEngine = async (group: ProcessGroup): Promise<Record<string, number>> => {
	const {ready} = await group.start({
		id: 'engine',
		module: '@knapweedrack/testkit/engine-main',
		args: ['--time-scale', '1000', '--warm-after-requests', '0'],
	});
	const tokens = 64;
	let attempts = 0;
	const requestsPerSecond = await measureCalls(async agent => {
		attempts += 1;
		const {body} = await agent.request({
			origin: `http://${ready.address}`,
			path: '/v1/generate',
			method: 'POST',
			body: JSON.stringify({
				requestId: `r${attempts}`, attemptId: `r${attempts}-1`, model: 'truing-model', prompt: `prompt ${attempts}`, maxTokens: tokens, priority: 1, deadlineInMs: 60_000,
			}),
		});
		await body.dump({limit: 1_000_000});
	});
	return {engineRequestsPerSecond: requestsPerSecond, engineFramesPerSecond: requestsPerSecond * tokens};
};

/** Measures the time of one step of the engine model with a full batch of decoding requests. */
const measureModel = (): Record<string, number> => {
	const steps = 50_000;
	const model = new EngineModel({...engineModelDefaults, kvTokens: 100_000_000, warmAfterRequests: 0});
	for (let index = 0; index < engineModelDefaults.maxConcurrency; index += 1) {
		const id = createHash('sha1').update(String(index)).digest('hex');
		model.submit({
			requestId: id,
			attemptId: id,
			kind: 'generate',
			promptTokens: 1,
			maxTokens: steps,
			answerTokens: steps,
			priority: 1,
			deadlineAt: Number.POSITIVE_INFINITY,
			blocks: [],
			importTokens: 0,
		}, 0);
	}

	const startedAt = performance.now();
	let tokens = 0;
	for (let step = 1; step <= steps - 2; step += 1) {
		tokens += model.runUntil(step * engineModelDefaults.decodeStepMs).length;
	}

	const durationMs = performance.now() - startedAt;
	return {modelMicrosecondsPerStep: Math.round(durationMs * 10_000 / steps) / 10, modelTokensPerSecond: Math.round(tokens * 1000 / durationMs)};
};

const group = new ProcessGroup();
const model = measureModel();
const platform = await measurePlatform(group);
const engine = await measureEngine(group);
await group.closeAll();
process.stdout.write(`${JSON.stringify({...model, ...platform, ...engine}, undefined, 2)}\n`);
