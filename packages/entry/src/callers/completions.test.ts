/* eslint-disable @typescript-eslint/naming-convention -- the names are those of the completions protocol */
import {expect} from 'chai';
import OpenAI from 'openai';
import {renderAnswer} from '@knapweedrack/testkit';
import {refusalReasons} from '@knapweedrack/core';
import {CallerFixture, type EngineState, type FixtureOptions} from './caller-fixture.test.js';

const model = 'truing-model';
const renderChatPrompt = (text: string) => `<|user|>\n${text}\n<|assistant|>\n`;

describe('completions', () => {
	let fixture: CallerFixture;
	const open = async (options?: FixtureOptions) => {
		fixture = await new CallerFixture().open(options);
		return fixture;
	};

	/** The second engine appears with the first permit request, so that the first attempt runs on the first one. */
	const openWithSecondEngineLater = async (refusePermit?: FixtureOptions['refusePermit']) => {
		await open({
			engines: [{}, {}],
			refusePermit(request) {
				fixture.servers.push(...later.splice(0));
				return refusePermit?.(request);
			},
		});
		const later = fixture.servers.splice(1);
	};

	const createChat = async (text: string) => fixture.createClient().chat.completions.create({
		model, messages: [{role: 'user', content: text}], max_completion_tokens: 8,
	});

	/** Reads a stream; returns its text and the error that ended it. */
	const readStream = async (text: string, maxTokens = 8) => {
		const chunks: unknown[] = [];
		let answer = '';
		try {
			const stream = await fixture.createClient().completions.create({
				model, prompt: text, max_tokens: maxTokens, stream: true,
			});
			for await (const chunk of stream) {
				chunks.push(chunk);
				answer += chunk.choices[0]?.text ?? '';
			}
		} catch (error) {
			return {answer, chunks, error: error as InstanceType<typeof OpenAI.APIError>};
		}

		return {answer, chunks, error: undefined};
	};

	afterEach(async () => {
		await fixture.waitForCleanUp();
		await fixture.close();
	});

	describe('with the unmodified openai client', () => {
		it('answers whole', async () => {
			await open();
			const completion = await createChat('hello');
			expect(completion.choices[0]?.message.content).to.equal(renderAnswer(renderChatPrompt('hello'), 8));
			expect(completion.usage).to.include({completion_tokens: 8});
			expect(fixture.summaries[0]).to.include({workspaceId: 'depot', outcome: 'completed', isLate: false});
		});

		it('answers streamed with sequence numbers and a checksum in the last chunk', async () => {
			await open();
			const {answer, chunks, error} = await readStream('hello');
			expect(error).to.equal(undefined);
			expect(answer).to.equal(renderAnswer('hello', 8));
			const extensions = chunks.map(chunk => (chunk as {knapweedrack: {seq: number; chunks?: number; checksum?: string}}).knapweedrack);
			expect(extensions.map(extension => extension.seq)).to.deep.equal(extensions.map((_, index) => index));
			expect(extensions.at(-1)).to.include({chunks: extensions.length, tokens: 8}).and.have.property('checksum');
		});

		it('adds usage to a stream on request', async () => {
			await open();
			const stream = await fixture.createClient().chat.completions.create({
				model, messages: [{role: 'user', content: 'x'}], max_completion_tokens: 3, stream: true, stream_options: {include_usage: true},
			});
			const usages = [];
			for await (const chunk of stream) {
				usages.push(chunk.usage);
			}

			expect(usages.at(-1)).to.include({completion_tokens: 3});
		});

		it('lists the models of the plan', async () => {
			await open();
			const models = await fixture.createClient().models.list();
			expect(models.data.map(each => each.id)).to.deep.equal(['truing-model', 'shop-desk']);
		});

		// A client that sees an unknown error class neither retries nor stops correctly.
		it('maps refusals to the error classes of the client', async () => {
			await open();
			const create = async (overrides: Record<string, unknown>, apiKey?: string) => {
				const client = fixture.createClient();
				client.apiKey = apiKey ?? client.apiKey;
				try {
					await client.chat.completions.create({model, messages: [{role: 'user', content: 'x'}], ...overrides} as never);
				} catch (error) {
					return error;
				}

				return undefined;
			};

			expect(await create({}, 'wrong')).to.be.instanceOf(OpenAI.AuthenticationError);
			expect(await create({model: 'missing'})).to.be.instanceOf(OpenAI.NotFoundError);
			expect(await create({model: 'fibre-scribe'})).to.be.instanceOf(OpenAI.PermissionDeniedError);
			expect(await create({tools: []})).to.be.instanceOf(OpenAI.BadRequestError).and.have.property('param', 'tools');
			expect(await create({messages: [{role: 'user', content: 'x'.repeat(400_400)}]})).to.have.property('code', 'prompt_too_long');
			fixture.standing = 'quarantined';
			expect(await create({})).to.be.instanceOf(OpenAI.UnprocessableEntityError);
			expect(fixture.releases).to.have.lengthOf(0);
		});
	});

	describe('frames of the engine', () => {
		const checkIncomplete = async (fault: Record<string, unknown>, reason: string) => {
			await open();
			await fixture.addFault(fixture.engines[0]!, fault);
			const {answer, error} = await readStream('hello');
			expect(error).to.have.nested.property('error.reason', reason);
			expect(renderAnswer('hello', 8).startsWith(answer)).to.equal(true);
			expect(fixture.summaries.at(-1)).to.include({outcome: 'failed'});
		};

		// Guards against an answer with missing text that looks complete.
		for (const [fault, reason] of [
			[{kind: 'framesDropped', frame: 2}, refusalReasons.streamCorrupt],
			[{kind: 'framesReordered', frame: 2}, refusalReasons.streamCorrupt],
			[{kind: 'framesTruncated', mode: 'end', frame: 3}, refusalReasons.streamIncomplete],
			[{kind: 'framesTruncated', mode: 'cut', frame: 3}, refusalReasons.streamIncomplete],
			[{kind: 'framesTruncated', mode: 'done', frame: 3}, refusalReasons.streamIncomplete],
		] as const) {
			it(`ends a stream with an error event after ${Object.values(fault).join(' ')}`, async () => checkIncomplete(fault, reason));
		}

		// Guards against sending the answer of one workspace to another, when an engine mixes the frames of two requests.
		it('never passes crossed or duplicated frames on', async () => {
			await open();
			await readStream('first');
			await fixture.addFault(fixture.engines[0]!, {kind: 'framesCrossed', mode: 'ids', frame: 2});
			const crossed = await readStream('second');
			expect(renderAnswer('second', 8).startsWith(crossed.answer)).to.equal(true);
			await fixture.addFault(fixture.engines[0]!, {kind: 'framesDuplicated', frame: 2});
			const duplicated = await readStream('third');
			expect(duplicated.error).to.equal(undefined);
			expect(duplicated.answer).to.equal(renderAnswer('third', 8));
		});

		it('detects crossed text by the checksum', async () => {
			await open();
			await readStream('first');
			await fixture.addFault(fixture.engines[0]!, {kind: 'framesCrossed', mode: 'text', frame: 2});
			const {error} = await readStream('second');
			expect(error).to.have.nested.property('error.reason', refusalReasons.streamCorrupt);
		});

		it('retries a whole answer on another engine', async () => {
			await openWithSecondEngineLater();
			await fixture.addFault(fixture.engines[0]!, {kind: 'framesDropped', frame: 2});
			const {choices} = await createChat('retry');
			expect(choices[0]?.message.content).to.equal(renderAnswer(renderChatPrompt('retry'), 8));
			expect(fixture.counts.get('stream_corrupt')).to.equal(1);
		});
	});

	// Guards against a dispatch under an expired permit: after an entry was paused for longer than the lifetime of its permit,
	// the owner no longer counts the work.
	it('sends nothing under an expired permit and retries elsewhere', async () => {
		await openWithSecondEngineLater();
		fixture.expiredServers.add('engine-1');
		await createChat('expired');
		const {executed} = await fixture.fetchState<EngineState>(fixture.engines[0]!);
		expect(executed).to.deep.equal({});
		expect(fixture.counts.get('owner_unreachable')).to.equal(1);
	});

	// Guards against refusals in the first seconds after a fleet starts (as with `demo --hold`), while the owners of the engines cannot be reached yet.
	it('waits for owners that cannot be reached instead of refusing', async () => {
		await open({
			refusePermit: () => Date.now() < reachableAt ? refusalReasons.ownerUnreachable : undefined,
		});
		const reachableAt = Date.now() + 900;
		const {choices} = await createChat('patient');
		expect(choices[0]?.message.content).to.equal(renderAnswer(renderChatPrompt('patient'), 8));
		expect(fixture.counts.get('owner_unreachable')).to.be.above(0);
	});

	describe('crash of an engine', () => {
		it('retries elsewhere before the first token and reports the crash', async () => {
			await openWithSecondEngineLater();
			await fixture.addFault(fixture.engines[0]!, {kind: 'crashMarker', marker: 'boom', count: 1});
			const {answer, error} = await readStream('boom');
			expect(error).to.equal(undefined);
			expect(answer).to.equal(renderAnswer('boom', 8));
			expect(fixture.reports.map(({result, serverId}) => `${serverId} ${result}`)).to.deep.equal(['engine-1 crashed']);
			await fixture.waitForCleanUp();
			expect(fixture.releases.map(release => release.result)).to.deep.equal(['crashed', 'completed']);
		});

		it('fails when the content crashes every engine', async () => {
			await open({engines: [{}, {}]});
			for (const engine of fixture.engines) {
				await fixture.addFault(engine, {kind: 'crashMarker', marker: 'boom', count: 1});
			}

			const {error} = await readStream('boom');
			expect(error).to.include({status: 502}).and.have.nested.property('error.outcome', 'failed');
			expect(fixture.reports.map(report => report.result)).to.deep.equal(['crashed', 'crashed']);
		});

		it('ends the stream with an error event after the first token', async () => {
			await open({engines: [{timeScale: 1}]});
			const stream = await fixture.createClient().completions.create({
				model, prompt: 'slow', max_tokens: 500, stream: true,
			});
			let count = 0;
			let failure: unknown;
			try {
				for await (const _chunk of stream) {
					count++;
					if (count === 2) {
						await fixture.addFault(fixture.engines[0]!, {kind: 'crash'});
					}
				}
			} catch (error) {
				failure = error;
			}

			expect(failure).to.have.nested.property('error.reason', refusalReasons.streamIncomplete);
			expect(failure).to.have.nested.property('error.outcome', 'failed');
		});

		it('states not_run when no connection could be opened', async () => {
			await open();
			await fixture.engines[0]!.close();
			fixture.engines.pop();
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}});
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.backendFailed}).and.have.property('retryAfterMs');
		});
	});

	describe('end of a request', () => {
		it('frees the engine when the caller disconnects', async () => {
			await open({engines: [{timeScale: 1}]});
			const controller = new AbortController();
			const stream = await fixture.createClient().completions.create({
				model, prompt: 'long', max_tokens: 5000, stream: true,
			}, {signal: controller.signal});
			await stream[Symbol.asyncIterator]().next();
			controller.abort();
			await fixture.waitForCleanUp();
			expect(fixture.summaries.at(-1)).to.include({reason: refusalReasons.callerGone});
		});

		it('answers at the deadline and frees the engine', async () => {
			await open({engines: [{timeScale: 1}]});
			const answer = await fixture.send('/v1/completions', {
				method: 'POST', body: {model, prompt: 'long', max_tokens: 5000}, headers: {'x-request-deadline-ms': '200'},
			});
			expect(answer.status).to.equal(504);
			expect(answer.json()).to.include({outcome: 'failed', reason: refusalReasons.deadlineExceeded});
		});

		// Guards against an answer that comes seconds after the deadline, while the entry waits for the limits of the workspace.
		it('answers at the deadline while the limits are awaited', async () => {
			let admit!: () => void;
			await open({
				waitForLimits: async () => new Promise<void>(resolve => {
					admit = resolve;
				}),
			});
			const timer = setTimeout(() => {
				admit();
			}, 1000);
			const startedAt = performance.now();
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}, headers: {'x-request-deadline-ms': '200'}});
			expect(performance.now() - startedAt).to.be.within(150, 800);
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.deadlineExceeded});
			clearTimeout(timer);
			admit();
			await fixture.waitUntil(() => fixture.admitted === 0, 'admission released');
		});

		it('passes a refused permit on at once with the time after which to retry', async () => {
			await open({refusePermit: () => refusalReasons.deadlineUnreachable});
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}});
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.deadlineUnreachable, retryAfterMs: 250});
			expect(answer.headers['retry-after-ms']).to.equal('250');
			expect(answer.json().alternatives).to.deep.equal(['127.0.0.1:2']);
		});

		// Guards against a second attempt on an engine whose first one failed: a cancellation that is still repeated there would end it.
		it('does not return to an engine that failed while the owner of another one is awaited', async () => {
			const requested: string[] = [];
			let refusals = 2;
			await openWithSecondEngineLater(({serverId}) => {
				requested.push(serverId);
				return serverId === 'engine-2' && refusals-- > 0 ? refusalReasons.ownerUnreachable : undefined;
			});
			await fixture.addFault(fixture.engines[0]!, {kind: 'framesDropped', frame: 2});
			const {choices} = await createChat('retry');
			expect(choices[0]?.message.content).to.equal(renderAnswer(renderChatPrompt('retry'), 8));
			expect(requested).to.deep.equal(['engine-1', 'engine-2', 'engine-2', 'engine-2']);
		});

		// Guards against refusals, although the engine has capacity, in the moments in which its owner changes.
		it('requests the permit again while the owner of the only engine changes', async () => {
			let refusals = 3;
			await open({refusePermit: () => refusals-- > 0 ? refusalReasons.ownershipDisputed : undefined});
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}});
			expect(answer.status, answer.text).to.equal(200);
		});

		it('refuses at once when its owner issues permits again only after the deadline', async () => {
			await open({refusePermit: () => refusalReasons.ownershipDisputed});
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}, headers: {'x-request-deadline-ms': '200'}});
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.ownershipDisputed});
		});

		it('refuses once half of the time until the deadline has passed without an owner', async () => {
			await open({refusePermit: () => refusalReasons.ownershipDisputed});
			const startedAt = performance.now();
			const answer = await fixture.send('/v1/completions', {method: 'POST', body: {model, prompt: 'x'}, headers: {'x-request-deadline-ms': '1000'}});
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.ownershipDisputed});
			expect(performance.now() - startedAt).to.be.within(200, 800);
		});

		it('ends open streams with an error event when the listener closes', async () => {
			await open({engines: [{timeScale: 1}]});
			const pendingStream = readStream('long', 5000);
			await fixture.waitUntil(() => fixture.openPermits.size === 1, 'permit held');
			await fixture.server.close();
			const {error} = await pendingStream;
			expect(error).to.be.instanceOf(OpenAI.APIError);
			const state = await fixture.fetchState<EngineState>(fixture.engines[0]!);
			expect(state.kvTokensUsed).to.equal(0);
			fixture.server = {...fixture.server, close: async () => undefined};
		});
	});

	describe('prompts larger than one engine', () => {
		const text = 'é'.repeat(16_000);

		it('run on a group and release all memory', async () => {
			await open({engines: [{kvTokens: 5000}, {kvTokens: 5000}, {kvTokens: 5000}]});
			const {answer, error} = await readStream(text);
			expect(error).to.equal(undefined);
			expect(answer.length).to.equal(renderAnswer(text, 8).length);
			await fixture.waitForCleanUp();
			expect(fixture.releases.map(release => release.result)).to.deep.equal(['completed', 'completed', 'completed']);
		});

		it('release all memory when a member crashes', async () => {
			await open({engines: [{kvTokens: 5000, timeScale: 1, prefillTokensPerSecond: 1000}, {kvTokens: 5000}]});
			const pendingStream = readStream(text);
			await fixture.waitUntil(async () => {
				const state = await fixture.fetchState<EngineState>(fixture.engines[0]!);
				return state.running.length > 0;
			}, 'segment running');
			await fixture.addFault(fixture.engines[0]!, {kind: 'crash'});
			const {error} = await pendingStream;
			expect(error).to.have.nested.property('error.outcome', 'failed');
		});

		it('release all memory when the caller disconnects', async () => {
			await open({engines: [{kvTokens: 5000, timeScale: 1, prefillTokensPerSecond: 1000}, {kvTokens: 5000}]});
			const controller = new AbortController();
			const cancelWhenRunning = async () => {
				await fixture.waitUntil(async () => {
					const state = await fixture.fetchState<EngineState>(fixture.engines[0]!);
					return state.running.length > 0 && state.reservations.length > 0;
				}, 'segment running');
				controller.abort();
			};

			const sendPrompt = async () => fixture.createClient().completions.create({model, prompt: text, max_tokens: 8}, {signal: controller.signal});
			const [result] = await Promise.allSettled([sendPrompt(), cancelWhenRunning()]);
			expect(result.status).to.equal('rejected');
		});

		// Guards against an answer that is given up because one member, which is leaving, refuses to renew its memory before it expires.
		it('are completed when a member is leaving meanwhile', async function () {
			this.timeout(40_000);
			const engine = {kvTokens: 5000, timeScale: 1, prefillTokensPerSecond: 650};
			await open({engines: [engine, engine]});
			const pendingStream = readStream(text);
			await fixture.waitUntil(async () => {
				const state = await fixture.fetchState<EngineState>(fixture.engines[0]!);
				return state.running.length > 0;
			}, 'segment running');
			await fixture.addFault(fixture.engines[0]!, {kind: 'leaving'});
			const {answer, error} = await pendingStream;
			expect(error).to.equal(undefined);
			expect(answer.length).to.equal(renderAnswer(text, 8).length);
		});

		it('are refused when no group has room', async () => {
			await open({engines: [{kvTokens: 5000}]});
			const {error} = await readStream(text);
			expect(error).to.have.nested.property('error.reason', refusalReasons.groupUnavailable);
		});
	});

	it('answers a repeated idempotency key from the stored answer', async () => {
		await open();
		const body = {model, prompt: 'once', max_tokens: 4};
		const headers = {'idempotency-key': 'key-1'};
		const first = await fixture.send('/v1/completions', {method: 'POST', body, headers});
		await fixture.waitForCleanUp();
		const second = await fixture.send('/v1/completions', {method: 'POST', body, headers});
		expect(second.json().choices).to.deep.equal(first.json().choices);
		const {executed} = await fixture.fetchState<EngineState>(fixture.engines[0]!);
		expect(Object.keys(executed)).to.have.lengthOf(1);
	});
});
