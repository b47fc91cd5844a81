import {randomUUID} from 'node:crypto';
import {expect} from 'chai';
import {mergeSummaries, type MinuteSummary} from '@knapweedrack/core';
import {createObjectStore, PlatformHttp} from '@knapweedrack/platform-client';
import {buildSummaryKey, minuteSummarySchema, objectKeys} from '@knapweedrack/protocol';
import {startPlatform, type StandIn} from '@knapweedrack/testkit';
import type {Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import {createMonitoredStore} from '../store/monitored-store.js';
import {SummaryTask} from './summary-task.js';

describe('SummaryTask', () => {
	let platform: StandIn;
	let http: PlatformHttp;
	let counts: Map<string, number>;

	beforeEach(async () => {
		platform = await startPlatform({delayMs: 0});
		http = new PlatformHttp({address: platform.address, timeoutMs: 1000});
		counts = new Map();
	});

	afterEach(async () => {
		await http.close();
		await platform.close();
	});

	const createTask = (): {task: SummaryTask; tick: () => void} => {
		const subscribers: Array<(now: number) => void> = [];
		const timer: TimerService = {
			now: () => performance.now(),
			subscribe(_, subscriber) {
				subscribers.push(subscriber);
				return () => undefined;
			},
			schedule: () => () => undefined,
		};
		const metrics = {count: (name: string) => counts.set(name, (counts.get(name) ?? 0) + 1)} as unknown as Metrics;
		const task = new SummaryTask({
			entryId: 'e', epoch: randomUUID(), store: createMonitoredStore(createObjectStore(http), timer), timer, metrics,
		});
		task.start();
		return {
			task,
			tick() {
				for (const subscriber of subscribers) {
					subscriber(performance.now());
				}
			},
		};
	};

	const record = (task: SummaryTask, workspaceId: string, index = 0): void => {
		task.services.record({
			workspaceId, promptTokens: 1000 * (4 ** (index % 5)), outcome: 'completed', reason: undefined,
			firstTokenMs: 100 + (index % 700), firstTokenTargetMs: 500, durationMs: 900, isLate: false,
		});
	};

	const addFault = async (fault: unknown): Promise<void> => {
		await fetch(`http://${platform.address}/testkit/faults`, {method: 'POST', body: JSON.stringify(fault)});
	};

	const fetchSummaries = async (): Promise<MinuteSummary[]> => {
		const listed = await createObjectStore(http).list(objectKeys.summaryPrefix);
		expect(listed.ok).to.equal(true);
		return listed.ok
			? listed.value.items.map(({key, value}) => {
				const summary = minuteSummarySchema.parse(value);
				expect(buildSummaryKey(summary)).to.equal(key);
				return summary;
			})
			: [];
	};

	const countCompleted = (summaries: MinuteSummary[]): number =>
		[...mergeSummaries(summaries).values()].reduce((sum, {outcomes}) => sum + (outcomes.completed ?? 0), 0);

	// Guards against a request that is counted twice because the write of its summary is repeated after a lost answer.
	it('counts each request once when answers to writes are lost', async () => {
		const {task, tick} = createTask();
		await addFault({kind: 'answerLost', keyPrefix: objectKeys.summaryPrefix, count: 3});
		record(task, 'w1');
		tick();
		record(task, 'w1');
		tick();
		record(task, 'w2');
		await task.stop();
		// Summaries whose write was not confirmed are written at the end of a later period; here the second stop is that period.
		await task.stop();
		const summaries = await fetchSummaries();
		expect(countCompleted(summaries)).to.equal(3);
		const state = await fetch(`http://${platform.address}/testkit/state`);
		const {calls} = await state.json() as {calls: {put: number}};
		// More writes than summaries show that answers were lost.
		expect(calls.put).to.be.greaterThan(summaries.length);
		expect(new Set(summaries.map(({sequence}) => sequence)).size).to.equal(summaries.length);
	});

	// Guards against requests that are lost or counted in another period because the object API was down.
	it('writes the periods of an outage afterwards', async () => {
		const {task, tick} = createTask();
		await addFault({kind: 'down'});
		record(task, 'w1');
		tick();
		record(task, 'w1');
		tick();
		await fetch(`http://${platform.address}/testkit/faults`, {method: 'DELETE'});
		record(task, 'w1');
		await task.stop();
		const summaries = await fetchSummaries();
		expect(countCompleted(summaries)).to.equal(3);
		expect(summaries.map(({sequence}) => sequence).sort((a, b) => a - b)).to.deep.equal([0, 1, 2]);
	});

	// Guards against a period with many workspaces that the object API refuses, so that it blocks all later ones.
	it('splits a period that exceeds the value limit and loses no count', async () => {
		const {task} = createTask();
		const workspaceCount = 9000;
		for (let index = 0; index < workspaceCount; index++) {
			record(task, `workspace-${index}`, index);
		}

		await task.stop();
		const summaries = await fetchSummaries();
		expect(summaries.length).to.be.greaterThan(1);
		expect(summaries.map(({part}) => part).sort((a, b) => a - b)).to.deep.equal([...summaries.keys()]);
		expect(mergeSummaries(summaries).size).to.equal(workspaceCount);
		expect(countCompleted(summaries)).to.equal(workspaceCount);
		expect(counts.get(counterNames.summaryWriteFailed)).to.equal(undefined);
	});
});
