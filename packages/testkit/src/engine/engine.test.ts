import {engineChunkSchema, engineReportSchema, type EngineChunk} from '@knapweedrack/protocol';
import {expect} from 'chai';
import type {StandIn} from '../http/stand-in.js';
import {renderAnswer} from './answer-text.js';
import type {EngineOptions} from './engine-options.js';
import {startEngine} from './engine.js';

const doneEvent = 'data: [DONE]';

type Generated = {status: number; chunks: EngineChunk[]; isDone: boolean; error?: string; isCut: boolean};

const post = async (standIn: StandIn, path: string, body?: unknown): Promise<Response> => fetch(`http://${standIn.address}${path}`, {
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

const generate = async (standIn: StandIn, id: string, fields: Record<string, unknown> = {}): Promise<Generated> => {
	try {
		return await readGenerated(await post(standIn, '/v1/generate', buildGenerate(id, fields)));
	} catch {
		return {
			status: 0, chunks: [], isDone: false, isCut: true,
		};
	}
};

const joinText = ({chunks}: Generated): string => chunks.map(({text}) => text).join('');

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

	// A test that compares answers would accept a crossed answer if the text did not follow from the prompt.
	it('generates the text that follows from the prompt', async () => {
		await start();
		const generated = await generate(engine, 'r1');
		expect(joinText(generated)).to.equal(renderAnswer('prompt of r1', 8));
		expect(generated.isDone).to.be.true;
		expect(generated.chunks.at(-1)?.knapweedrack.last).to.include({frames: 8, completionTokens: 8, promptTokens: 3});
		const state = await getState();
		expect(state).to.include({kvTokensUsed: 0, crashes: 0});
		expect(state.executed).to.deep.equal({r1: 1});
	});

	// Unknown fields accepted here would hide a mistake of the sender that a real engine refuses.
	it('refuses what the protocol page does not specify', async () => {
		await start();
		expect(await generate(engine, 'r1', {extra: 1})).to.include({status: 400, error: 'bad_request'});
		const response = await fetch(`http://${engine.address}/v2/other`);
		expect(response.status).to.equal(400);
	});

	// The report of a stand-in that differs from the schema would fail in the entry only.
	it('reports a status that matches the schema', async () => {
		await start();
		expect(engineReportSchema.strict().safeParse(await getJson(engine, '/admin/v1/status')).success).to.be.true;
	});

	// Guarantee 3 is tested against this crash.
	it('crashes and returns with a new boot id when it is overloaded while cold', async () => {
		await start({warmAfterRequests: 8, coldPrefillTokens: 100});
		const before = await getState();
		const generated = await generate(engine, 'r1', {prompt: 'x'.repeat(404)});
		expect(generated.isCut).to.be.true;
		const after = await getState();
		expect(after).to.include({crashes: 1, kvTokensUsed: 0});
		expect(after.bootId).not.to.equal(before.bootId);
	});
});
