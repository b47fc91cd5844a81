import {expect} from 'chai';
import type {LostAttempt} from '@knapweedrack/core';
import {createTimerService, type ProcessTimer} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {StoreCodec} from '../contracts.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {crashEvidence} from './crash-detection-task.js';
import type {CrashReport} from './crash-report.js';
import {QuarantineTask} from './quarantine-task.js';

const buildAttempt = (server: number, chainLength: number): LostAttempt => ({
	positions: [{fingerprint: 'x', chainLength}], attemptId: `a${server}/0`, serverId: `s${server}`, bootId: 'b',
});

describe('QuarantineTask', () => {
	const store: Partial<ObjectStore> = {};
	const codec: Partial<StoreCodec> = {};
	let timer: ProcessTimer;
	let task: QuarantineTask;
	let unsettled: LostAttempt[];
	let reports: CrashReport[];
	let isFirstServing: boolean;

	beforeEach(() => {
		timer = createTimerService();
		unsettled = [];
		reports = [];
		isFirstServing = true;
		task = new QuarantineTask({
			entryId: 'e1', failureDomain: 'east', store: store as ObjectStore, codec: codec as StoreCodec, timer,
			log: {
				write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
			},
			metrics: new RelayMetrics(), detection: {listUnsettled: () => unsettled}, isForwarder: () => false, isFirstServing: () => isFirstServing,
			readWallClock: Date.now,
			sendCrashReport(sent) {
				reports.push(sent);
			},
		});
	});

	afterEach(() => {
		task.stop();
		timer.stop();
	});

	describe('content under which servers ended at the same time', () => {
		beforeEach(() => {
			for (const server of [1, 2, 3]) {
				task.recordCrash(buildAttempt(server, 1), crashEvidence.refused);
			}
		});

		it('runs once at a time', () => {
			expect(task.isRefused(['x'])).to.equal(false);
			expect(task.startRun(['x'])).to.deep.equal([{fingerprint: 'x', chainLength: 2}]);
			expect(task.isRefused(['x'])).to.equal(true);
			task.endRun(['x']);
			expect(task.isRefused(['x'])).to.equal(false);
		});

		it('runs at one entry only', () => {
			isFirstServing = false;
			expect(task.isRefused(['x'])).to.equal(true);
		});

		it('runs everywhere again once it has completed', () => {
			isFirstServing = false;
			task.recordCompletion(['x']);
			expect(task.isRefused(['x'])).to.equal(false);
			expect(reports.at(-1)!.cleared.map(({fingerprint}) => fingerprint)).to.deep.equal(['x']);
		});
	});

	describe('attempts whose servers are being checked', () => {
		it('count towards the chain', () => {
			task.recordCrash(buildAttempt(1, 1), crashEvidence.refused);
			task.recordCrash(buildAttempt(2, 2), crashEvidence.refused);
			unsettled = [buildAttempt(3, 3)];
			expect(task.isRefused(['x'])).to.equal(true);
		});

		// Guards against refusing content because several copies were lost with one server.
		it('count once for each server', () => {
			isFirstServing = false;
			unsettled = [1, 2, 3].map(copy => ({...buildAttempt(1, 1), attemptId: `copy ${copy}`}));
			expect(task.isRefused(['x'])).to.equal(false);
		});

		// Guards against refusing frequent content while many of its connections are reset.
		it('do not count against content that has just completed', () => {
			isFirstServing = false;
			task.recordCompletion(['x']);
			unsettled = [1, 2, 3].map(server => buildAttempt(server, 1));
			expect(task.isRefused(['x'])).to.equal(false);
		});
	});

	describe('attempts that were lost just now', () => {
		const lose = (attempt: LostAttempt): void => {
			unsettled.push(attempt);
			task.recordLoss(attempt);
		};

		const listUnconfirmed = (): string[][] => reports.map(({unconfirmed}) => unconfirmed.flatMap(({crashes}) => crashes.map(({attemptId}) => attemptId)));

		// Guards against a message for each request that a single server or a reset connection takes with it.
		it('are reported before the check only when several servers lost the content', () => {
			lose(buildAttempt(1, 1));
			lose({...buildAttempt(1, 1), attemptId: 'copy'});
			expect(reports).to.deep.equal([]);
			lose(buildAttempt(2, 1));
			lose({...buildAttempt(2, 1), attemptId: 'other copy'});
			expect(listUnconfirmed()).to.deep.equal([['a1/0', 'a2/0']]);
		});

		it('are withdrawn once unless they have become crashes', () => {
			lose(buildAttempt(1, 1));
			lose(buildAttempt(2, 1));
			task.recordCrash(buildAttempt(1, 1), crashEvidence.refused);
			for (const attemptId of ['a1/0', 'a2/0', 'a2/0', 'a3/0']) {
				task.withdrawLoss(attemptId);
			}

			expect(reports.flatMap(({withdrawn}) => withdrawn)).to.deep.equal(['a2/0']);
		});

		// Guards against refusing content whose connections were reset at another entry, while that entry still checks the servers.
		it('of another entry do not restrict runs at once', () => {
			isFirstServing = false;
			const crashes = [1, 2, 3].map(server => ({
				attemptId: `a${server}`, serverId: `s${server}`, bootId: 'b', companions: [], entryId: 'e2', chainLength: 1, lostAt: timer.now(),
			}));
			task.acceptCrashReport({
				entryId: 'e2', failureDomain: 'east', records: [], cleared: [], unconfirmed: [{fingerprint: 'x', standing: 'suspect', crashes}], withdrawn: [],
			});
			expect(task.isRefused(['x'])).to.equal(false);
		});
	});
});
