import {refusalReasons} from '@knapweedrack/core';
import {expect} from 'chai';
import {
	createLoadTrace, longFromTokens, mixedBursts, type LoadOptions,
} from './load-trace.js';
import {runSimulation, type SimulationOptions} from './run-simulation.js';
import {computeRunFigures} from './run-summary.js';
import {computeCapacity, simulatedDeployments} from './simulated-deployment.js';

const deployment = simulatedDeployments.prairie;

const createTrace = (options: Partial<LoadOptions> = {}) => createLoadTrace({
	deployment, seed: 7, load: 0.5, durationMs: 8000, ...mixedBursts, ...options,
});

const run = (options: Partial<SimulationOptions> = {}) => runSimulation({
	deployment, policy: 'core', trace: createTrace(), seed: 7, ...options,
});

describe('createLoadTrace', () => {
	// The figures of two commits are comparable only if a seed always gives the same load.
	it('gives the same requests for the same seed and others for another seed', () => {
		expect(createTrace()).to.deep.equal(createTrace());
		expect(createTrace()).to.not.deep.equal(createTrace({seed: 8}));
	});

	// Targets are stated for a share of the capacity, so a trace that offers another share would make them meaningless.
	it('offers the stated share of the capacity with about 1 long prompt in 50', () => {
		const durationMs = 300_000;
		const trace = createTrace({load: 1, durationMs, burstRate: 0});
		const offered = trace.reduce((sum, {promptTokens, blocks}) => sum + promptTokens - (blocks.filter(block => block.startsWith('shared.')).length * 1024), 0);
		expect(offered / computeCapacity(deployment) / durationMs * 1000).to.be.closeTo(1, 0.02);
		expect(trace.filter(({promptTokens}) => promptTokens >= longFromTokens).length / trace.length).to.be.closeTo(0.02, 0.005);
	});
});

describe('runSimulation', () => {
	for (const policy of ['core', 'random', 'round robin', 'least outstanding'] as const) {
		// A request that never ends is missing from the percentiles, which would improve unnoticed.
		it(`ends every request exactly once with ${policy}`, () => {
			const trace = createTrace();
			const {results} = run({policy, trace});
			expect(results.map(({request}) => request.id).toSorted()).to.deep.equal(trace.map(({id}) => id).toSorted());
			expect(results.filter(({end, firstTokenMs}) => end.type === 'completed' && firstTokenMs === undefined)).to.be.empty;
		});
	}

	// Guards against randomness that does not come from the seed and against use of the real clock.
	it('gives the same result for the same seed', () => {
		expect(run()).to.deep.equal(run());
	});

	// If engines did not crash without admission, the absence of crashes with it would prove nothing.
	it('crashes cold engines without admission and none with it', () => {
		const events = [{at: 3000, type: 'cold' as const}];
		expect(run({policy: 'round robin', events}).crashes).to.be.greaterThan(0);
		expect(run({events}).crashes).to.equal(0);
	});
});

describe('computeRunFigures', () => {
	const [request] = createTrace();
	const base = {request: {...request!, at: 0, deadlineMs: 1000}, attempts: 1, firstTokenMs: 10};

	// An answer after the deadline has no value for the caller and must not count as goodput.
	it('counts only requests that finished in time as good', () => {
		const figures = computeRunFigures([
			{...base, end: {type: 'completed'}, endMs: 500},
			{...base, end: {type: 'completed'}, endMs: 1500},
			{...base, end: {type: 'refused', reason: 'queue_full', retryAfterMs: 1}, endMs: 5},
			{...base, end: {type: 'failed', reason: 'deadline_exceeded'}, endMs: 1001},
		], 1000);
		expect(figures).to.include({completed: 1, late: 2, goodRequestsPerSecond: 1});
		expect(figures.refusals).to.deep.equal([{
			reason: 'queue_full', count: 1, medianMs: 5, maxMs: 5,
		}]);
		expect(figures.failures).to.deep.equal({[refusalReasons.deadlineExceeded]: 1});
	});
});
