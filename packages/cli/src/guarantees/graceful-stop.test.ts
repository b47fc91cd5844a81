import {expect} from 'chai';
import {
	countRunning, renderExpectedAnswer, restoreFleet, runConcurrently, sendPrompt, waitUntil,
} from './fleet-fixture.test.js';

/** Cold engines run some of the streams and queue the others; both kinds must complete. */
const streamCount = 4;
const runningAtSignal = 2;
/** About 4 s at 500 tokens/s: streams are open when the signal arrives, and all end within the grace period. */
const streamTokens = 2000;
const stopLimitMs = 30_000;

describe('guarantee: a planned stop interrupts no request', () => {
	// Guards against an entry that closes its listeners or exits while answers are being streamed.
	it('finishes open streams after SIGTERM and exits', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		const entry = fleet.entries[2]!;
		const streams = runConcurrently(streamCount, async index => sendPrompt(fleet, {prompt: `stop ${index}`, maxTokens: streamTokens, entry}));
		await waitUntil(async () => countRunning(fleet), running => running >= runningAtSignal, 10_000);
		const exit = await fleet.group.stop(entry.id, stopLimitMs);
		expect(exit).to.deep.equal({code: 0, signal: null});
		const results = await streams;
		for (const [index, {text, ...result}] of results.entries()) {
			const {reason, retryAfterMs, durationMs} = result;
			expect(result.outcome, `stream ${index}: ${JSON.stringify({reason, retryAfterMs, durationMs})}`).to.equal('completed');
			expect(text).to.equal(renderExpectedAnswer(`stop ${index}`, streamTokens));
		}
	});
});
