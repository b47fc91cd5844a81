import {expect} from 'chai';
import fc from 'fast-check';
import {
	EngineModel, engineModelDefaults, type EngineModelEvent, type EngineModelOptions, type EngineWork,
} from './engine-model.js';

const buildWork = (id: string, fields: Partial<EngineWork> = {}): EngineWork => ({
	requestId: id,
	attemptId: `${id}-1`,
	kind: 'generate',
	promptTokens: 1000,
	maxTokens: 4,
	answerTokens: 4,
	priority: 1,
	deadlineAt: Number.POSITIVE_INFINITY,
	blocks: [],
	importTokens: 0,
	...fields,
});

const createModel = (options: Partial<EngineModelOptions> = {}): EngineModel => new EngineModel({...engineModelDefaults, warmAfterRequests: 0, ...options});

const findTime = (events: EngineModelEvent[], type: EngineModelEvent['type'], requestId: string): number | undefined => {
	const found = events.find(event => event.type === type && event.work.requestId === requestId);
	return found?.at;
};

/** Calls the model at each time that `getNextTime` returns, up to `end`. */
const runUntil = (model: EngineModel, end: number): EngineModelEvent[] => {
	const events: EngineModelEvent[] = [];
	for (let next = model.getNextTime(); next !== undefined && next <= end; next = model.getNextTime()) {
		events.push(...model.runUntil(next));
	}

	return [...events, ...model.runUntil(end)];
};

type ActionContext = {now: number; index: number; id: string; tokens: number};

const buildActionWork = ({now, index, id, tokens}: ActionContext): EngineWork => buildWork(id, {
	attemptId: `a${index}`,
	promptTokens: tokens,
	deadlineAt: now + tokens,
	blocks: Array.from({length: Math.floor(tokens / 1024)}, (_, block) => `${id}:${block}`),
});

const actionHandlers = {
	submit: (model: EngineModel, context: ActionContext) => model.submit(buildActionWork(context), context.now),
	segment: (model: EngineModel, context: ActionContext) => model.submit({
		...buildActionWork(context), kind: 'segment', maxTokens: 0, answerTokens: 0, segment: {index: context.index, tokens: context.tokens, digest: ''},
	}, context.now),
	cancel: (model: EngineModel, {id, now}: ActionContext) => model.cancel(id, now),
	pause: (model: EngineModel, {id}: ActionContext) => model.pause(id),
	resume: (model: EngineModel, {id, now}: ActionContext) => model.resume(id, now),
	reserve: (model: EngineModel, {id, now, tokens}: ActionContext) => model.reserve(id, tokens, now + tokens),
	release: (model: EngineModel, {id, now}: ActionContext) => model.release(id, now),
};

const actionArbitrary = fc.record({
	name: fc.constantFrom(...Object.keys(actionHandlers) as Array<keyof typeof actionHandlers>),
	request: fc.integer({min: 0, max: 3}),
	tokens: fc.integer({min: 1, max: 4000}),
	delayMs: fc.constantFrom(0, 0, 10, 100, 400),
});

describe('EngineModel', () => {
	describe('scheduling', () => {
		it('generates the first token after the prefill and each further token after one step', () => {
			const model = createModel();
			model.submit(buildWork('r1'), 0);
			const events = runUntil(model, 1000);
			expect(findTime(events, 'token', 'r1')).to.equal(25);
			expect(findTime(events, 'finished', 'r1')).to.equal(85);
		});

		// Head-of-line blocking is measured with this model, so a long prompt must delay requests of equal priority and no more urgent ones.
		it('runs a short urgent prompt after the current chunk of a long prompt', () => {
			const model = createModel();
			model.submit(buildWork('long', {promptTokens: 200_000, priority: 5}), 0);
			model.runUntil(10);
			model.submit(buildWork('short', {promptTokens: 400, priority: 0}), 10);
			model.submit(buildWork('waiting', {promptTokens: 400, priority: 5}), 10);
			const events = runUntil(model, 60_000);
			expect(findTime(events, 'token', 'short')).to.be.below(110);
			expect(findTime(events, 'token', 'waiting')).to.be.above(findTime(events, 'token', 'long')! - 100);
		});

		it('lengthens the decode step while it prefills large chunks', () => {
			const model = createModel();
			model.submit(buildWork('r1', {promptTokens: 1, maxTokens: 100, answerTokens: 100}), 0);
			model.submit(buildWork('long', {promptTokens: 20_480}), 0);
			const tokens = runUntil(model, 500).filter(event => event.type === 'token' && event.work.requestId === 'r1');
			expect(tokens[3]!.at - tokens[2]!.at).to.be.closeTo(51.2, 0.001);
		});

		it('returns the same events for one late call as for many timely calls', () => {
			const timely = createModel();
			const late = createModel();
			for (const model of [timely, late]) {
				model.submit(buildWork('r1', {deadlineAt: 200}), 0);
				model.submit(buildWork('r2', {promptTokens: 9000, deadlineAt: 200}), 0);
			}

			expect(late.runUntil(1000).map(({type, at}) => ({type, at}))).to.deep.equal(runUntil(timely, 1000).map(({type, at}) => ({type, at})));
		});

		it('makes no progress while paused and continues when resumed', () => {
			const model = createModel();
			model.submit(buildWork('r1'), 0);
			model.runUntil(30);
			expect(model.pause('r1')).to.equal('paused');
			expect(model.runUntil(5000)).to.deep.equal([]);
			expect(model.kvTokensUsed).to.equal(1004);
			expect(model.resume('r1', 5000)).to.equal('decode');
			expect(findTime(runUntil(model, 9000), 'finished', 'r1')).to.equal(5060);
		});
	});

	describe('cold start', () => {
		// Tests that entries never overload a cold engine are meaningful only if overload does crash it.
		it('crashes above its cold concurrency or prefill tokens until it is warm', () => {
			const cold = {warmAfterRequests: 2, coldConcurrency: 2, coldPrefillTokens: 4000};
			const byTokens = createModel(cold);
			expect(byTokens.submit(buildWork('r1', {promptTokens: 4001}), 0)).to.deep.equal({type: 'crashed'});

			const model = createModel(cold);
			expect(model.submit(buildWork('r1'), 0)).to.deep.equal({type: 'accepted'});
			expect(model.submit(buildWork('r2'), 0)).to.deep.equal({type: 'accepted'});
			runUntil(model, 1000);
			expect(model.isCold).to.be.false;
			for (const id of ['r3', 'r4', 'r5', 'r6']) {
				expect(model.submit(buildWork(id, {promptTokens: 5000}), 1000)).to.deep.equal({type: 'accepted'});
			}

			model.reset();
			expect(model.isCold).to.be.true;
			expect(model.kvTokensUsed).to.equal(0);
		});
	});

	describe('memory', () => {
		it('refuses work beyond its memory or concurrency', () => {
			const model = createModel({kvTokens: 2500, maxConcurrency: 2});
			expect(model.submit(buildWork('big', {promptTokens: 2497}), 0)).to.deep.equal({type: 'refused', error: 'outOfMemory'});
			expect(model.submit(buildWork('r1'), 0)).to.deep.equal({type: 'accepted'});
			expect(model.submit(buildWork('r2'), 0)).to.deep.equal({type: 'accepted'});
			expect(model.submit(buildWork('r3', {promptTokens: 1}), 0)).to.deep.equal({type: 'refused', error: 'overloaded'});
		});

		it('ends work and reservations at their time limits', () => {
			const model = createModel();
			model.reserve('group', 10_000, 500);
			model.submit(buildWork('group', {maxTokens: 1000, answerTokens: 1000}), 0);
			model.submit(buildWork('r1', {maxTokens: 1000, answerTokens: 1000, deadlineAt: 300}), 0);
			const events = runUntil(model, 1000);
			expect(findTime(events, 'ended', 'r1')).to.equal(300);
			expect(findTime(events, 'ended', 'group')).to.equal(500);
			expect(model.kvTokensUsed).to.equal(0);
		});

		it('keeps the segments of a reservation until it is released', () => {
			const model = createModel();
			expect(model.reserve('group', 1500, 10_000)).to.be.true;
			model.submit(buildWork('group', {
				kind: 'segment', maxTokens: 0, answerTokens: 0, segment: {index: 0, tokens: 1000, digest: 'd'},
			}), 0);
			runUntil(model, 100);
			expect(model.findSegment('group', 0)).to.include({tokens: 1000});
			expect(model.submit(buildWork('group', {attemptId: 'a2', promptTokens: 501, maxTokens: 1}), 100)).to.deep.equal({type: 'refused', error: 'outOfMemory'});
			expect(model.reserve('group', 999, 10_000)).to.be.false;
			expect(model.cancel('group', 200)).to.be.true;
			expect(model.findSegment('group', 0)).to.equal(undefined);
			expect(model.kvTokensUsed).to.equal(0);
		});

		it('prefills only what the prefix cache lacks and evicts unused blocks', () => {
			const model = createModel({kvTokens: 6000});
			const blocks = ['a', 'b', 'c'];
			model.submit(buildWork('r1', {promptTokens: 4000, blocks}), 0);
			runUntil(model, 1000);
			expect(model.consumeCacheChanges()).to.deep.equal([{kind: 'stored', blocks}]);
			model.submit(buildWork('r2', {promptTokens: 4000, blocks}), 1000);
			const events = runUntil(model, 2000);
			expect(findTime(events, 'token', 'r2')).to.be.closeTo(1000 + ((4000 - 3072) / 40), 0.001);
			model.submit(buildWork('r3', {promptTokens: 4000, blocks: []}), 2000);
			expect(model.consumeCacheChanges()).to.deep.equal([{kind: 'evicted', blocks: ['a', 'b']}]);
		});

		// Tests that look for leaked KV memory use this model, which therefore must not leak itself.
		it('holds no memory after any sequence of calls once all work has ended', () => {
			fc.assert(fc.property(fc.array(actionArbitrary, {maxLength: 60}), actions => {
				const model = createModel({kvTokens: 9000, maxConcurrency: 4});
				let now = 0;
				for (const [index, action] of actions.entries()) {
					now += action.delayMs;
					model.runUntil(now);
					actionHandlers[action.name](model, {
						now, index, id: `r${action.request}`, tokens: action.tokens,
					});
					expect(model.kvTokensUsed).to.be.within(0, 9000);
				}

				model.runUntil(now + 10_000);
				expect([...model.jobs]).to.deep.equal([]);
				expect(model.kvTokensUsed).to.equal(0);
			}), {seed: 7, numRuns: 500});
		});
	});
});
