import {setImmediate as runPending} from 'node:timers/promises';
import {expect} from 'chai';
import type {Service, WaitingDemand} from '@knapweedrack/core';
import {VirtualClock} from '@knapweedrack/testkit';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {DecisionLog} from '../logging/decision-log.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import type {PlacedRequest, PlacementDemand} from '../placement/placement-task.js';
import {WaitingTask, type QueuedRequest} from './waiting-task.js';

const profile = {
	slots: 8, memoryTokens: 200_000, stepMs: 1, stepMsPerSequence: 0.01, stepMsPerThousandTokens: 0.003, prefillTokensPerMs: 200, attentionMsPerMillionPairs: 0.1,
	chunkTokens: 2048, stepsPerPass: 50, hopMs: 0.1, meanPromptTokens: 12_000, meanAnswerTokens: 1500,
};
const service: Service = {
	name: 'chat', maxConnections: 100, coldRequestsPerSecond: 0, engine: profile, longestDelayMs: 0, healthPath: undefined,
};

const createTimer = (clock: VirtualClock): TimerService => ({
	now: () => clock.now,
	subscribe(periodMs, subscriber) {
		let isOpen = true;
		const tick = (): void => {
			if (isOpen) {
				subscriber(clock.now);
				clock.scheduleIn(periodMs, tick);
			}
		};

		clock.scheduleIn(periodMs, tick);
		return () => {
			isOpen = false;
		};
	},
	schedule(delayMs, subscriber) {
		let isOpen = true;
		clock.scheduleIn(delayMs, () => {
			if (isOpen) {
				subscriber(clock.now);
			}
		});
		return () => {
			isOpen = false;
		};
	},
});

describe('WaitingTask', () => {
	let clock: VirtualClock;
	let free: number;
	let trials: number;
	/** What `place` returns without room. */
	let full: 'wait' | undefined;
	let elsewhere: WaitingDemand[] | undefined;
	let reports: WaitingDemand[][];
	let excluded: string[][];
	let lines: Array<Record<string, unknown>>;
	let ends: Array<[name: string, end: string, atMs: number]>;
	let task: WaitingTask;

	beforeEach(() => {
		clock = new VirtualClock();
		free = 0;
		trials = 0;
		full = 'wait';
		elsewhere = [];
		reports = [];
		excluded = [];
		lines = [];
		ends = [];
		const log: DecisionLog = {
			write: () => undefined, getOmitted: () => 0, flush: () => undefined,
			writeRequest(event, requestId, fields) {
				lines.push({event, requestId, ...fields});
			},
		};
		task = new WaitingTask({
			timer: createTimer(clock), log, metrics: new RelayMetrics(),
			placement: {
				place(_service, _demand, excludedIds) {
					trials++;
					excluded.push([...excludedIds]);
					if (free === 0) {
						return full;
					}

					free--;
					const placed: Partial<PlacedRequest> = {
						release() {
							free++;
							task.notifyRoom();
						},
					};
					return placed as PlacedRequest;
				},
			},
			listServers: () => Array.from({length: 8}, (_, index) => `s${7 - index}`),
			countEntries: () => 4, listElsewhere: () => elsewhere,
			notifyWaiting() {
				reports.push(task.listWaiting());
			},
		});
	});

	const ask = (name: string, urgency: number, changes: Partial<PlacementDemand> = {}, options: Partial<QueuedRequest> = {}): void => {
		const arrivedAt = clock.now;
		const {deadlineMs = 10_000, ...demand} = changes;
		const pending = task.acquire({
			requestId: name, route: 'r', service, urgency, workspace: 'w', excludedServerIds: new Set(), canWait: () => false, isOver: () => false,
			buildDemand: () => ({
				promptTokens: 5000, outputTokens: 10, targetMs: 1000, waitedMs: clock.now - arrivedAt, hasBegun: false, deadlineMs: deadlineMs - (clock.now - arrivedAt), pauseTargetMs: undefined, ...demand,
			}),
			...options,
		});
		void (async () => {
			try {
				const result = await pending;
				ends.push([name, typeof result === 'string' ? result : 'placed', clock.now]);
			} catch (error) {
				ends.push([name, (error as Error).message, clock.now]);
			}
		})();
	};

	const play = async (untilMs: number): Promise<void> => {
		for (let at = clock.now + 1; at <= untilMs; at++) {
			clock.schedule(at, () => undefined);
			clock.run(at, () => false);
			await runPending();
		}
	};

	// Guards against a slot that goes to the request whose timer fires first.
	it('gives freed room to the most urgent request at once', async () => {
		ask('low', 2);
		ask('high', 0);
		await play(30);
		free = 1;
		task.notifyRoom();
		await play(32);
		expect(ends).to.deep.equal([['high', 'placed', 31]]);
	});

	// Guards against a queue that goes on using processor time after its last request.
	it('tries nothing while nobody waits', async () => {
		free = 1;
		ask('one', 1);
		await play(5);
		task.notifyRoom();
		task.notifyReport();
		await play(200);
		expect(ends).to.deep.equal([['one', 'placed', 1]]);
		expect(trials).to.equal(1);
	});

	// Guards against processor time that grows with the number of load reports.
	it('bounds the runs that load reports start', async () => {
		ask('one', 1);
		for (let at = 1; at <= 1000; at++) {
			await play(at);
			task.notifyReport();
		}

		expect(trials).to.be.within(50, 160);
	});

	// Guards against requests that are held in the queue after they have ended, and against answers long after the decision.
	it('ends the wait of a request that is over, that no server can take, or whose deadline has passed', async () => {
		let isOver = false;
		ask('over', 1, {}, {isOver: () => isOver});
		ask('deadline', 1, {deadlineMs: 100});
		await play(50);
		isOver = true;
		await play(200);
		full = undefined;
		ask('unplaced', 1);
		await play(202);
		expect(ends.map(([name, end]) => [name, end])).to.deep.equal([['over', 'over'], ['deadline', 'deadlineUnreachable'], ['unplaced', 'unplaced']]);
		expect(ends[1]![2]).to.be.within(100, 125);
		expect(task.size).to.equal(0);
		expect(lines.map(({event, requestId, reason}) => [event, requestId, reason])).to.deep.equal([['waiting.refused', 'deadline', 'deadlineUnreachable'], ['waiting.refused', 'unplaced', 'unplaced']]);
	});

	// Guards against the rest of an answer that is refused like a new request.
	it('lets a request wait whose answer has begun', async () => {
		full = undefined;
		ask('begun', 2, {hasBegun: true}, {canWait: () => true});
		await play(100);
		free = 1;
		task.notifyRoom();
		await play(102);
		expect(ends).to.deep.equal([['begun', 'placed', 101]]);
	});

	// Guards against an error in placement that leaves the caller without an answer.
	it('passes on an error of placement', async () => {
		ask('broken', 1, {}, {
			canWait() {
				throw new Error('broken');
			},
		});
		full = undefined;
		await play(30);
		expect(ends.map(([name, end]) => [name, end])).to.deep.equal([['broken', 'broken']]);
		expect(task.size).to.equal(0);
	});

	describe('with more urgent requests at other entries', () => {
		beforeEach(() => {
			elsewhere = [{
				service: 'chat', urgency: 0, requests: 3, cost: 15_000,
			}];
			free = 10;
		});

		// Guards against less urgent requests that take the room for which more urgent ones wait, and against those that starve.
		it('leaves them all room for a share of the target, then some servers', async () => {
			ask('high', 0);
			ask('low', 2);
			ask('begun', 2, {hasBegun: true});
			await play(190);
			expect(ends.map(([name]) => name)).to.deep.equal(['high', 'begun']);
			await play(230);
			expect(ends.map(([name]) => name)).to.deep.equal(['high', 'begun', 'low']);
			expect(excluded.at(-1)).to.deep.equal(['s0', 's1', 's2']);
		});

		it('keeps the servers that a long prompt needs itself', async () => {
			ask('long', 2, {promptTokens: 190_000, targetMs: 1000});
			await play(230);
			// 2,755 ms of prefill in 400 ms need 7 of the 8 servers.
			expect(excluded.at(-1)).to.deep.equal(['s0']);
		});

		it('leaves room to requests of the same service only', async () => {
			elsewhere = [{
				service: 'other', urgency: 0, requests: 3, cost: 15_000,
			}];
			ask('low', 2);
			await play(2);
			expect(ends.map(([name]) => name)).to.deep.equal(['low']);
		});
	});

	// Guards against entries that take all room while no report tells them of the others, and against entries that take none.
	it('keeps less urgent requests to the static share while no other entry is heard', async () => {
		elsewhere = undefined;
		for (let number = 0; number < 20; number++) {
			ask(`low${number}`, 2, {promptTokens: 50_000});
		}

		await play(2);
		ask('high', 0, {promptTokens: 190_000}, {
			buildDemand: () => ({
				promptTokens: 190_000, outputTokens: 1, targetMs: 1000, waitedMs: 0, hasBegun: false, deadlineMs: 10_000, pauseTargetMs: undefined,
			}),
		});
		await play(4);
		expect(task.listWaiting()).to.have.lengthOf(2);
		expect(task.size).to.equal(21);
	});

	// Guards against other entries that do not learn of a change in what waits, or of each request.
	it('reports when an urgency begins or ceases to wait', async () => {
		ask('one', 1);
		ask('two', 1);
		ask('three', 2);
		await play(10);
		free = 3;
		task.notifyRoom();
		await play(100);
		expect(reports.map(report => report.map(({urgency}) => urgency))).to.deep.equal([[1], [1, 2], []]);
	});

	it('names the largest groups that wait', async () => {
		ask('one', 1);
		ask('two', 1, {}, {workspace: 'other'});
		ask('three', 1, {}, {workspace: 'other'});
		await play(2);
		expect(task.listLargest()).to.deep.equal([
			{
				service: 'chat', urgency: '1', workspace: 'other', requests: 2,
			}, {
				service: 'chat', urgency: '1', workspace: 'w', requests: 1,
			},
		]);
	});
});
