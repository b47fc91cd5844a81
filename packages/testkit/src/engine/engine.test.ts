import {engineChunkSchema, engineReportSchema, type EngineChunk} from '@knapweedrack/protocol';
import {expect} from 'chai';
import type {StandIn} from '../http/stand-in.js';
import {startPlatform} from '../platform/platform.js';
import {renderAnswer} from './answer-text.js';
import type {EngineOptions} from './engine-options.js';
import {startEngine} from './engine.js';

const doneEvent = 'data: [DONE]';

type Generated = {status: number; chunks: EngineChunk[]; isDone: boolean; error?: string; isCut: boolean};

const sendPost = async (standIn: StandIn, path: string, body?: unknown): Promise<Response> => fetch(`http://${standIn.address}${path}`, {
	method: 'POST',
	headers: {'content-type': 'application/json'},
	body: JSON.stringify(body ?? {}),
});

const getJson = async <Value>(standIn: StandIn, path: string): Promise<Value> => {
	const response = await fetch(`http://${standIn.address}${path}`);
	return await response.json() as Value;
};

const buildGenerate = (id: string, fields: Record<string, unknown> = {}) => ({
	requestId: id,
	attemptId: `${id}-1`,
	model: 'truing-model',
	prompt: `prompt of ${id}`,
	maxTokens: 8,
	priority: 1,
	deadlineInMs: 10_000,
	...fields,
});

const readGenerated = async (response: Response): Promise<Generated> => {
	if (response.status !== 200) {
		const {error} = await response.json() as {error: string};
		return {
			status: response.status, chunks: [], isDone: false, error, isCut: false,
		};
	}

	let text = '';
	let isCut = false;
	try {
		for await (const part of response.body!.pipeThrough(new TextDecoderStream())) {
			text += part;
		}
	} catch {
		isCut = true;
	}

	const events = text.split('\n\n').filter(event => event !== '');
	const chunks = events.filter(event => event !== doneEvent).map(event => engineChunkSchema.parse(JSON.parse(event.slice('data: '.length))));
	return {
		status: 200, chunks, isDone: events.at(-1) === doneEvent, isCut,
	};
};

const requestAnswer = async (standIn: StandIn, id: string, fields: Record<string, unknown> = {}): Promise<Generated> => {
	try {
		return await readGenerated(await sendPost(standIn, '/v1/generate', buildGenerate(id, fields)));
	} catch {
		return {
			status: 0, chunks: [], isDone: false, isCut: true,
		};
	}
};

const renderText = ({chunks}: Generated): string => chunks.map(({text}) => text).join('');

type EngineState = {
	bootId: string;
	isCold: boolean;
	kvTokensUsed: number;
	crashes: number;
	executed: Record<string, number>;
	reservations: unknown[];
};

describe('startEngine', () => {
	let engine: StandIn;

	const start = async (options: Partial<EngineOptions> = {}): Promise<void> => {
		engine = await startEngine({
			timeScale: 20, statusLagMs: 0, restartMs: 50, warmAfterRequests: 0, ...options,
		});
	};

	const getState = async (): Promise<EngineState> => getJson<EngineState>(engine, '/testkit/state');

	afterEach(async () => {
		await engine.close();
	});

	// Tests detect an answer to another request by its text, so each prompt must have its own answer.
	it('generates the text that follows from the prompt', async () => {
		await start();
		const generated = await requestAnswer(engine, 'r1');
		expect(renderText(generated)).to.equal(renderAnswer('prompt of r1', 8));
		expect(generated.isDone).to.be.true;
		expect(generated.chunks.at(-1)?.knapweedrack.last).to.include({frames: 8, completionTokens: 8, promptTokens: 3});
		const state = await getState();
		expect(state).to.include({kvTokensUsed: 0, crashes: 0});
		expect(state.executed).to.deep.equal({r1: 1});
	});

	// Accepting unknown fields or routes would hide a mistake of the sender that a real engine refuses.
	it('refuses unknown fields and routes', async () => {
		await start();
		expect(await requestAnswer(engine, 'r1', {extra: 1})).to.include({status: 400, error: 'bad_request'});
		const response = await fetch(`http://${engine.address}/v2/other`);
		expect(response.status).to.equal(400);
	});

	// A status that differs from the schema would otherwise be noticed only in the entry that polls it.
	it('reports a status that matches the schema', async () => {
		await start();
		expect(engineReportSchema.strict().safeParse(await getJson(engine, '/admin/v1/status')).success).to.be.true;
	});

	// Tests that entries never overload a cold engine detect a violation by this crash.
	it('crashes and returns with a new boot id when it is overloaded while cold', async () => {
		await start({warmAfterRequests: 8, coldPrefillTokens: 100});
		const before = await getState();
		const generated = await requestAnswer(engine, 'r1', {prompt: 'x'.repeat(404)});
		expect(generated.isCut).to.be.true;
		const after = await getState();
		expect(after).to.include({crashes: 1, kvTokensUsed: 0});
		expect(after.bootId).not.to.equal(before.bootId);
	});

	const addFault = async (fault: Record<string, unknown>): Promise<void> => {
		const response = await sendPost(engine, '/testkit/faults', fault);
		expect(response.status).to.equal(200);
	};

	const sendJson = async (path: string, body?: unknown): Promise<{status: number; body: Record<string, unknown>}> => {
		const response = await sendPost(engine, path, body);
		return {status: response.status, body: await response.json() as Record<string, unknown>};
	};

	const waitForRunning = async (): Promise<void> => {
		let state = await getState();
		while (state.kvTokensUsed === 0) {
			state = await getState();
		}
	};

	describe('refusals', () => {
		// Entries report the outcome not_run to callers because the engine states that the request was not started.
		it('states that a refused request was not started', async () => {
			await start({kvTokens: 1000, checksFencing: true});
			await requestAnswer(engine, 'r1', {fencingNumber: 5});
			expect(await requestAnswer(engine, 'r1')).to.include({status: 409, error: 'duplicate_attempt'});
			expect(await requestAnswer(engine, 'r2', {bootId: 'other'})).to.include({status: 409, error: 'boot_changed'});
			expect(await requestAnswer(engine, 'r2', {model: 'other'})).to.include({status: 409, error: 'model_not_loaded'});
			expect(await requestAnswer(engine, 'r2', {fencingNumber: 4})).to.include({status: 409, error: 'stale_fencing_number'});
			expect(await requestAnswer(engine, 'r2', {maxTokens: 1000})).to.include({status: 507, error: 'out_of_memory'});
			await addFault({kind: 'leaving'});
			expect(await requestAnswer(engine, 'r2')).to.include({status: 503, error: 'leaving'});
			expect(await sendJson('/v1/generate', buildGenerate('r2'))).to.have.nested.property('body.started', false);
			const {executed} = await getState();
			expect(executed).to.deep.equal({r1: 1});
		});
	});

	describe('control of requests', () => {
		it('cancels, pauses and resumes', async () => {
			await start();
			const cancelled = requestAnswer(engine, 'r1', {maxTokens: 100_000});
			await waitForRunning();
			expect(await sendJson('/admin/v1/requests/r1/pause')).to.deep.equal({status: 200, body: {phase: 'paused'}});
			expect(await sendJson('/admin/v1/requests/r1/resume')).to.have.property('status', 200);
			expect(await sendJson('/admin/v1/requests/r1/cancel')).to.deep.equal({status: 200, body: {cancelled: true}});
			expect(await cancelled).to.include({isDone: false, isCut: false});
			expect(await sendJson('/admin/v1/requests/r1/cancel')).to.deep.equal({status: 200, body: {cancelled: false}});
			expect(await sendJson('/admin/v1/requests/r1/pause')).to.have.property('status', 404);
			expect(await getState()).to.include({kvTokensUsed: 0});
		});

		// A request that nobody cancels must still end at its deadline.
		it('ends a request at its deadline in real time', async () => {
			await start();
			const startedAt = performance.now();
			expect(await requestAnswer(engine, 'r1', {maxTokens: 100_000, deadlineInMs: 100})).to.include({status: 200, isDone: false});
			expect(performance.now() - startedAt).to.be.within(90, 5000);
			expect(await getState()).to.include({kvTokensUsed: 0});
		});

		const closeConnectionOf = async (id: string): Promise<void> => {
			const abort = new AbortController();
			const response = await fetch(`http://${engine.address}/v1/generate`, {
				method: 'POST', body: JSON.stringify(buildGenerate(id, {maxTokens: 100_000})), signal: abort.signal,
			});
			expect(response.status).to.equal(200);
			abort.abort();
		};

		// Engines like this hold memory until the deadline, so entries have to find and cancel abandoned requests themselves.
		it('continues a request whose connection closes', async () => {
			await start({timeScale: 1});
			await closeConnectionOf('r1');
			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
			expect(await getState()).to.have.property('kvTokensUsed').above(0);
		});

		it('cancels a request whose connection closes when `cancelsOnDisconnect` is set', async () => {
			await start({timeScale: 1, cancelsOnDisconnect: true});
			await closeConnectionOf('r1');
			let state = await getState();
			while (state.kvTokensUsed > 0) {
				state = await getState();
			}

			expect(state.executed).to.deep.equal({r1: 1});
		});
	});

	describe('prompts spread over several engines', () => {
		let other: StandIn;

		beforeEach(async () => {
			await start();
			other = await startEngine({serverId: 'engine-2', timeScale: 20, warmAfterRequests: 0});
		});

		afterEach(async () => {
			await other.close();
		});

		it('prefills segments, imports them and answers to the whole prompt', async () => {
			const segments = [{
				serverId: 'engine-2', address: other.address, index: 0, tokens: 1000,
			}];
			const prompts = ['a'.repeat(4000), 'the last segment'];
			const reservation = {requestId: 'g', kvTokens: 2000, ttlMs: 10_000};
			await Promise.all([engine, other].map(async target => sendPost(target, '/admin/v1/reservations', reservation)));
			const segment = {
				requestId: 'g', attemptId: 'g-s0', index: 0, prompt: prompts[0], priority: 1, segments: [],
			};
			const prefilled = await sendPost(other, '/admin/v1/segments', segment);
			expect(await prefilled.json()).to.deep.equal({requestId: 'g', index: 0, tokens: 1000});
			const generated = await requestAnswer(engine, 'g', {prompt: prompts[1], segments});
			expect(renderText(generated)).to.equal(renderAnswer(prompts, 8));
			expect(generated.chunks.at(-1)?.knapweedrack.last).to.include({promptTokens: 1004});
			for (const target of [engine, other]) {
				await fetch(`http://${target.address}/admin/v1/reservations/g`, {method: 'DELETE'});
				expect(await getJson(target, '/testkit/state')).to.include({kvTokensUsed: 0});
			}
		});

		it('refuses segments without a reservation and imports of missing segments', async () => {
			const segments = [{
				serverId: 'engine-2', address: other.address, index: 0, tokens: 1000,
			}];
			expect(await requestAnswer(engine, 'g', {segments})).to.include({status: 404, error: 'segment_not_found'});
			const body = {
				requestId: 'g', attemptId: 'g-s1', index: 1, prompt: 'x', priority: 1, segments: [],
			};
			expect(await sendJson('/admin/v1/segments', body)).to.have.nested.property('body.error', 'not_found');
		});
	});

	describe('orders', () => {
		const buildOrder = (fencingNumber: number, fields: Record<string, unknown> = {}) => ({
			orderId: `o${fencingNumber}`, kind: 'load_adapter', target: 'adapter-1', fencingNumber, expiresInMs: 1000, ...fields,
		});

		it('refuses a lower fencing number only when `checksFencing` is set', async () => {
			await start({checksFencing: true, loadMs: 0});
			expect(await sendJson('/admin/v1/orders', buildOrder(2))).to.deep.equal({status: 202, body: {orderId: 'o2'}});
			expect(await sendJson('/admin/v1/orders', buildOrder(1))).to.have.nested.property('body.error', 'stale_fencing_number');
			expect(await getJson(engine, '/admin/v1/status')).to.include({fencingNumber: 2});
			await engine.close();
			await start({loadMs: 0});
			expect(await sendJson('/admin/v1/orders', buildOrder(2))).to.have.property('status', 202);
			expect(await sendJson('/admin/v1/orders', buildOrder(1))).to.have.property('status', 202);
		});

		// The lease of the sender may have expired by the end of the freeze, so a late order must not take effect.
		it('ignores an order that expired while it was frozen', async () => {
			await start({loadMs: 0});
			await addFault({kind: 'freeze', durationMs: 200});
			expect(await sendJson('/admin/v1/orders', buildOrder(1, {expiresInMs: 50}))).to.have.nested.property('body.error', 'order_expired');
			expect(await getJson(engine, '/admin/v1/orders')).to.include({lastOrderId: ''});
		});

		it('loads weights from the weight store and retries while the store refuses the transfer', async () => {
			const platform = await startPlatform({weightTransfers: 1, weightTransferMs: 300});
			await start({platform: platform.address});
			const startedAt = performance.now();
			await sendJson('/admin/v1/orders', buildOrder(1));
			await sendJson('/admin/v1/orders', buildOrder(2, {target: 'adapter-2'}));
			let assignment = await getJson<{adapters: string[]}>(engine, '/admin/v1/orders');
			while (assignment.adapters.length < 2) {
				assignment = await getJson(engine, '/admin/v1/orders');
			}

			expect(performance.now() - startedAt).to.be.above(590);
			await platform.close();
		});

		it('loads a model with a new boot id', async () => {
			await start({loadMs: 0});
			const {bootId} = await getState();
			await sendJson('/admin/v1/orders', buildOrder(1, {kind: 'load_model', target: 'shop-desk', version: '2'}));
			let state = await getState();
			while (state.bootId === bootId) {
				state = await getState();
			}

			expect(await getJson(engine, '/admin/v1/orders')).to.deep.equal({
				model: 'shop-desk', version: '2', adapters: [], role: 'both', lastOrderId: 'o1',
			});
			expect(await requestAnswer(engine, 'r1', {model: 'shop-desk'})).to.include({status: 200, isDone: true});
		});
	});

	describe('status', () => {
		// Real engines report load late; an owner that is tested only with current load could admit too much work to them.
		it('reports load with a lag but the boot id at once', async () => {
			await start({statusLagMs: 400, timeScale: 1});
			void requestAnswer(engine, 'r1', {maxTokens: 10_000});
			await waitForRunning();
			expect(await getJson(engine, '/admin/v1/status')).to.include({kvTokensUsed: 0});
			let status = await getJson<{kvTokensUsed: number; bootId: string}>(engine, '/admin/v1/status');
			while (status.kvTokensUsed === 0) {
				status = await getJson(engine, '/admin/v1/status');
			}

			await addFault({kind: 'cold'});
			const after = await getJson<{kvTokensUsed: number; bootId: string}>(engine, '/admin/v1/status');
			expect(after.bootId).not.to.equal(status.bootId);
			expect(after.kvTokensUsed).to.equal(0);
		});
	});

	describe('cache events', () => {
		it('publishes stored blocks late and with gaps', async () => {
			await start({cacheEventDelayMs: 0, cacheEventLossRate: 0.5, kvTokens: 3000});
			for (let index = 0; index < 10; index += 1) {
				await requestAnswer(engine, `r${index}`, {prompt: `${index}`.repeat(4096), deadlineInMs: 20_000});
			}

			const {events} = await getJson<{events: Array<{seq: number}>}>(engine, '/admin/v1/cache-events?after=0');
			const seqs = events.map(({seq}) => seq);
			expect(seqs).to.have.length.within(1, seqs.at(-1)! - 1);
			await engine.close();
			await start({cacheEventDelayMs: 60_000, cacheEventLossRate: 0});
			await requestAnswer(engine, 'r1', {prompt: 'x'.repeat(4096)});
			expect(await getJson(engine, '/admin/v1/cache-events?after=0')).to.have.property('events').that.deep.equals([]);
		});
	});

	describe('faults', () => {
		const listSeqs = ({chunks}: Generated): number[] => chunks.map(({knapweedrack}) => knapweedrack.seq);

		// Entries must detect each of these defects when they validate frames.
		it('duplicates, drops and reorders frames of one stream', async () => {
			await start();
			await addFault({kind: 'framesDuplicated', frame: 2});
			expect(listSeqs(await requestAnswer(engine, 'r1', {maxTokens: 4}))).to.deep.equal([0, 1, 2, 2, 3]);
			await addFault({kind: 'framesDropped', frame: 2});
			expect(listSeqs(await requestAnswer(engine, 'r2', {maxTokens: 4}))).to.deep.equal([0, 1, 3]);
			await addFault({kind: 'framesReordered', frame: 1});
			expect(listSeqs(await requestAnswer(engine, 'r3', {maxTokens: 4}))).to.deep.equal([0, 2, 1, 3]);
			expect(listSeqs(await requestAnswer(engine, 'r4', {maxTokens: 4}))).to.deep.equal([0, 1, 2, 3]);
		});

		it('truncates a stream in three ways', async () => {
			await start();
			await addFault({kind: 'framesTruncated', frame: 2});
			expect(await requestAnswer(engine, 'r1')).to.include({isDone: false, isCut: false}).and.to.have.property('chunks').with.length(2);
			await addFault({kind: 'framesTruncated', frame: 2, mode: 'done'});
			expect(await requestAnswer(engine, 'r2')).to.include({isDone: true}).and.to.have.property('chunks').with.length(2);
			await addFault({kind: 'framesTruncated', frame: 2, mode: 'cut'});
			expect(await requestAnswer(engine, 'r3')).to.include({isDone: false, isCut: true});
		});

		it('sends a frame of another request, with its ids or only its text', async () => {
			await start();
			await requestAnswer(engine, 'r1');
			await addFault({kind: 'framesCrossed', frame: 1});
			const byIds = await requestAnswer(engine, 'r2');
			expect(byIds.chunks[1]?.knapweedrack.requestId).to.equal('r1');
			await addFault({kind: 'framesCrossed', frame: 1, mode: 'text'});
			const byText = await requestAnswer(engine, 'r3');
			expect(byText.chunks.every(({knapweedrack}) => knapweedrack.requestId === 'r3')).to.be.true;
			expect(renderText(byText)).not.to.equal(renderAnswer('prompt of r3', 8));
		});

		it('delays frames of marked prompts only', async () => {
			await start();
			await addFault({
				kind: 'framesLate', delayMs: 300, frame: 1, marker: 'LATE',
			});
			const startedAt = performance.now();
			await requestAnswer(engine, 'r1');
			const untouchedMs = performance.now() - startedAt;
			const late = await requestAnswer(engine, 'r2', {prompt: 'LATE'});
			expect(performance.now() - startedAt - untouchedMs).to.be.above(300);
			expect(renderText(late)).to.equal(renderAnswer('LATE', 8));
			expect(late.isDone).to.be.true;
		});

		// Callers retry a request that crashed an engine, so the fault must act on every attempt.
		it('crashes on every start of a marked prompt and serves requests after the restart', async () => {
			await start();
			await addFault({kind: 'crashMarker', marker: 'POISON'});
			for (const attempt of [1, 2]) {
				expect(await requestAnswer(engine, 'bad', {prompt: 'POISON', attemptId: `bad-${attempt}`})).to.include({isCut: true});
				let result = await requestAnswer(engine, 'good', {attemptId: `good-${attempt}`});
				while (!result.isDone) {
					result = await requestAnswer(engine, 'good', {attemptId: `good-${attempt}`});
				}
			}

			const state = await getState();
			expect(state.crashes).to.equal(2);
			expect(state.executed).to.deep.equal({bad: 2, good: 2});
		});

		it('cuts running streams on a crash and restarts cold without a crash', async () => {
			await start({timeScale: 1});
			const running = requestAnswer(engine, 'r1', {maxTokens: 10_000});
			await waitForRunning();
			await addFault({kind: 'crash'});
			expect(await running).to.include({isDone: false, isCut: true});
			const {bootId} = await getState();
			await addFault({kind: 'cold'});
			const state = await getState();
			expect(state.bootId).not.to.equal(bootId);
			expect(state.crashes).to.equal(1);
		});

		it('makes no progress and sends no answer while frozen', async () => {
			await start();
			await addFault({kind: 'freeze', durationMs: 200});
			const startedAt = performance.now();
			expect(await requestAnswer(engine, 'r1')).to.include({isDone: true});
			expect(performance.now() - startedAt).to.be.above(190);
		});

		it('counts the time of a freeze towards deadlines', async () => {
			await start({timeScale: 1});
			const running = requestAnswer(engine, 'r1', {maxTokens: 10_000, deadlineInMs: 150});
			await waitForRunning();
			await addFault({kind: 'freeze', durationMs: 300});
			const startedAt = performance.now();
			expect(await running).to.include({isDone: false});
			expect(performance.now() - startedAt).to.be.above(250);
		});
	});
});
