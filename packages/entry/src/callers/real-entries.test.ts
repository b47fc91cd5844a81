import {expect} from 'chai';
import {request as send} from 'undici';
import {renderAnswer, startService} from '@knapweedrack/testkit';
import {Fleet, waitUntil} from '../test-support/fleet.js';

const model = 'truing-model';

describe('caller server with real control tasks', function () {
	this.timeout(60_000);
	let fleet: Fleet;

	beforeEach(async () => {
		fleet = new Fleet();
		await fleet.start();
	});

	afterEach(async () => {
		await fleet.stop();
	});

	const sendCompletion = async (address: string, prompt: string) => {
		const answer = await send(`http://${address}/v1/completions`, {
			method: 'POST', headers: {authorization: 'Bearer credential', 'content-type': 'application/json'},
			// eslint-disable-next-line @typescript-eslint/naming-convention
			body: JSON.stringify({model, prompt, max_tokens: 4}),
		});
		return {status: answer.statusCode, body: await answer.body.json() as {choices?: Array<{text: string}>; reason?: string}};
	};

	const waitForAnswer = async (address: string, prompt: string) => waitUntil(`${address} answers`, async () => {
		const {status, body} = await sendCompletion(address, prompt);
		return status === 200 && body.choices?.[0]?.text === renderAnswer(prompt, 4);
	});

	// The control tasks of the other tests grant everything; here permits, ownership and warm-up are in force.
	it('serves a burst on cold engines through two entries without a crash or a wrong answer', async () => {
		await fleet.putConfiguration();
		await fleet.startEngine('engine-1', 'regina', {timeScale: 5});
		await fleet.startEngine('engine-2', 'saskatoon', {timeScale: 5});
		const first = await fleet.startEntry('e1', 'regina');
		const second = await fleet.startEntry('e2', 'saskatoon');
		await waitForAnswer(first.callerAddress, 'warm one');
		await waitForAnswer(second.callerAddress, 'warm two');
		const prompts = Array.from({length: 40}, (_, index) => `prompt ${index}`);
		const answers = await Promise.all(prompts.map(async (prompt, index) => sendCompletion((index % 2 === 0 ? first : second).callerAddress, prompt)));
		for (const [index, {status, body}] of answers.entries()) {
			expect(status, JSON.stringify(body)).to.equal(200);
			expect(body.choices?.[0]?.text).to.equal(renderAnswer(prompts[index]!, 4));
		}

		for (const engine of fleet.engines.values()) {
			const state = await send(`http://${engine.address}/testkit/state`);
			expect(await state.body.json()).to.have.property('crashes', 0);
		}
	});

	// Guards against refusals of requests that wait in the queue of an engine when another entry becomes its owner.
	it('completes requests that wait for an engine whose owner changes', async () => {
		const plan = {
			id: 'large', models: [model], services: [], failureDomains: ['regina', 'saskatoon'], requestsPerSecond: 1000, tokensPerSecond: 1_000_000,
			concurrency: 10_000, longestPromptTokens: 1_000_000, firstTokenTargets: [{targetMs: 2000}], deadlineMs: 30_000, share: 1,
		};
		await fleet.putConfiguration({plans: [plan]});
		await fleet.startEngine('engine-1', 'regina', {timeScale: 1, maxConcurrency: 2, coldConcurrency: 2});
		const first = await fleet.startEntry('e1', 'saskatoon');
		await waitForAnswer(first.callerAddress, 'warm one');
		// An entry of the engine's failure domain becomes its owner some seconds after its start.
		const second = await fleet.startEntry('e2', 'regina');
		const isOwner = () => second.services.permits.isOwned('engine-1');
		let count = 0;
		const answers: Array<Promise<Awaited<ReturnType<typeof sendCompletion>>>> = [];
		await waitUntil('the owner changes', async () => {
			answers.push(sendCompletion(first.callerAddress, `prompt ${count++}`));
			return isOwner();
		});
		const completed = await Promise.all(answers);
		for (const [index, {status, body}] of completed.entries()) {
			expect(status, JSON.stringify(body)).to.equal(200);
			expect(body.choices?.[0]?.text).to.equal(renderAnswer(`prompt ${index}`, 4));
		}
	});

	it('runs a prompt larger than one engine on a group', async () => {
		await fleet.putConfiguration();
		for (const id of ['engine-1', 'engine-2', 'engine-3']) {
			await fleet.startEngine(id, 'regina', {kvTokens: 6000, timeScale: 5, warmAfterRequests: 0});
		}

		const entry = await fleet.startEntry('e1', 'regina');
		await waitForAnswer(entry.callerAddress, 'short');
		const long = 'x'.repeat(36_000);
		await waitUntil('the long prompt is answered', async () => {
			const {status} = await sendCompletion(entry.callerAddress, long);
			return status === 200;
		});
	});

	it('executes a call of a plain service once', async () => {
		await fleet.putConfiguration({
			services: [{name: 'work-orders', idempotentMethods: ['GET']}],
			plans: [{
				id: 'large', models: [], services: ['work-orders'], failureDomains: ['regina'], requestsPerSecond: 1000, tokensPerSecond: 1_000_000,
				concurrency: 100, longestPromptTokens: 1000, firstTokenTargets: [{targetMs: 2000}], deadlineMs: 30_000, share: 1,
			}],
		});
		const service = await startService();
		await fleet.putInstance({
			id: 'service-1', address: service.address, kind: 'service', failureDomain: 'regina', serves: 'work-orders', state: 'live',
		});
		const entry = await fleet.startEntry('e1', 'regina');
		await waitUntil('the call is run', async () => {
			const answer = await send(`http://${entry.callerAddress}/v1/services/work-orders/release`, {
				method: 'POST', headers: {authorization: 'Bearer credential', 'idempotency-key': 'k1'}, body: '{}',
			});
			await answer.body.dump();
			return answer.statusCode === 200;
		});
		const state = await send(`http://${service.address}/testkit/state`);
		expect(await state.body.json()).to.have.nested.property('executions.k1', 1);
		await service.close();
	});
});
