import {expect} from 'chai';
import {createTimerService, runWithDeadline, type ProcessTimer} from './timer-service.js';

describe('createTimerService', () => {
	let timer: ProcessTimer;

	beforeEach(() => {
		timer = createTimerService();
	});

	afterEach(() => {
		timer.stop();
	});

	// Guards against a cancelled subscription that still runs and changes the state of a task that has ended.
	it('ends one subscription without ending others of the same period', async () => {
		const calls: string[] = [];
		const stopFirst = timer.subscribe(5, () => calls.push('first'));
		await new Promise<void>(resolve => {
			timer.subscribe(5, () => {
				calls.push('second');
				stopFirst();
				if (calls.length > 4) {
					resolve();
				}
			});
		});
		expect(calls.filter(call => call === 'first')).to.have.length(1);
	});

	it('runs deadlines in order and not after their cancellation', async () => {
		const calls: number[] = [];
		const cancel = timer.schedule(1, () => calls.push(1));
		cancel();
		timer.schedule(5, () => calls.push(5));
		await new Promise<void>(resolve => {
			timer.schedule(20, () => {
				resolve();
			});
		});
		expect(calls).to.deep.equal([5]);
	});

	// Without a deadline, a call to a paused peer would wait forever.
	it('aborts a call at its deadline', async () => {
		const result = runWithDeadline(timer, 5, async signal => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve('aborted');
			});
		}));
		expect(await result).to.equal('aborted');
	});
});
