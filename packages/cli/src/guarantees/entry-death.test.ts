import {expect} from 'chai';
import {buildDemoPrompt} from '../demo/demo-plan.js';
import {
	addFaultToEngines, countRunning, fetchEngines, restoreFleet, runConcurrently, sendPrompt, waitUntil,
} from './fleet-fixture.test.js';

const streamCount = 4;
/** Fewer than all streams, because cold engines queue the others. */
const runningAtKill = 2;
/** At 125 tokens/s the streams take longer than the time limit, so their own end cannot free the memory in time. */
const streamTokens = 8000;
const slowFactor = 4;
/** Needs the memory of both engines of a failure domain. */
const groupPromptTokens = 600_000;
const freeLimitMs = 30_000;

describe('guarantee: no engine leaks memory', () => {
	// Guards against permits, requests and reservations that outlive the entry that holds them.
	it('frees all KV memory, reservations and requests of an entry killed in mid-stream', async function () {
		this.timeout(120_000);
		const fleet = await restoreFleet();
		const entry = fleet.entries[0]!;
		await addFaultToEngines(fleet, {kind: 'slow', factor: slowFactor});
		const streams = runConcurrently(streamCount, async index => sendPrompt(fleet, {prompt: `death ${index}`, maxTokens: streamTokens, entry}));
		const longPromptCall = sendPrompt(fleet, {prompt: buildDemoPrompt('death', groupPromptTokens), maxTokens: 32, entry});
		await waitUntil(async () => countRunning(fleet), running => running >= runningAtKill, 20_000);
		await waitUntil(async () => fetchEngines(fleet), engines => engines.some(({reservations}) => reservations.length > 0), 20_000);
		await fleet.closeMember(entry.id);
		await waitUntil(
			async () => fetchEngines(fleet),
			engines => engines.every(({kvTokensUsed, running, reservations}) => kvTokensUsed === 0 && running.length === 0 && reservations.length === 0),
			freeLimitMs,
		);
		for (const {outcome} of [...await streams, await longPromptCall]) {
			expect(outcome).to.equal('unknown');
		}
	});
});
