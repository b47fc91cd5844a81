import {expect} from 'chai';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {openTcpSocket} from '../exchange/connection-opener.js';
import {ReachabilityTask, type ReachabilityOptions} from './reachability-task.js';

describe('ReachabilityTask', () => {
	// Guards against a probe that throws once and is joined by all later checks, each of which then counts towards the end of the process.
	it('probes again after a probe that has thrown', async () => {
		let lists = 0;
		const timer: TimerService = {now: () => 0, subscribe: () => () => undefined, schedule: () => () => undefined};
		const options = {
			timer, bounds: {settleMs: 1000}, log: {write: () => undefined}, metrics: {countEvent: () => undefined}, openSocket: openTcpSocket,
			getConnectTimeoutMs: () => 100, random: () => 0, notifyChange: () => undefined,
			listServers() {
				lists++;
				if (lists === 1) {
					throw new Error('injected');
				}

				return [];
			},
		};
		const task = new ReachabilityTask(options as unknown as ReachabilityOptions);
		const failures: string[] = [];
		for (let check = 0; check < 2; check++) {
			try {
				await task.checkAfterFailure('s');
			} catch (error) {
				failures.push((error as Error).message);
			}
		}

		expect({failures, lists}).to.deep.equal({failures: ['injected'], lists: 2});
	});
});
