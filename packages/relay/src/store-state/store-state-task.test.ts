import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {createError, createOk} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {RelayBounds, StoreCodec} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {StateSourceTask, type StateHandlers} from '../state-feed/state-source-task.js';
import {StoreStateTask} from './store-state-task.js';

const revocationMs = 5000;
const bounds: RelayBounds = {
	settleMs: 3000, revocationMs, leaveDomainMs: 5000, leaveServerMs: 2000, applyConfigurationMs: 2000, graceMs: 8000, entryListLifetimeMs: 5000, retryRatio: 0.2, retrySlack: 100,
	retryWindowMs: 10_000, reservationMs: 4000,
};
const clockCheckMs = 250;
const configurationKey = 'configuration/main';

describe('StoreStateTask', () => {
	let monotonic: number;
	let wall: number;
	let task: StoreStateTask;
	let scheduled: Array<() => void>;
	let answerWatch: (() => void) | undefined;
	let source: StateSourceTask;
	let handlers: StateHandlers;
	let checkClocks: () => void;

	const timer: TimerService = {
		now: () => monotonic,
		subscribe(periodMs, subscriber) {
			if (periodMs === clockCheckMs) {
				checkClocks = () => {
					subscriber(monotonic);
				};
			}

			return () => undefined;
		},
		schedule(_delayMs, subscriber) {
			scheduled.push(() => {
				subscriber(monotonic);
			});
			return () => undefined;
		},
	};
	const store = {
		list: async (prefix: string) => createOk({revision: 1, items: prefix === configurationKey ? [{key: configurationKey, version: 1, value: {}}] : []}),
		watch: async (prefix: string, _after: number, _waitMs: number, {signal}: {signal: AbortSignal}) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve(createError({kind: 'unavailable', message: 'ended'}));
			});
			if (prefix === configurationKey) {
				answerWatch = () => {
					resolve(createOk({revision: 1, events: []}));
				};
			}
		}),
	} as unknown as ObjectStore;
	const codec = {
		configurationKey, serverPrefix: 'servers/', outagePrefix: 'outages/', entryPrefix: 'entries/', quarantinePrefix: 'quarantine/',
		decodeServer: (id: string) => ({
			id, service: 'desk', address: '127.0.0.1:1', failureDomain: 'east', slots: 1, isDraining: false, coldForMs: 0, bootId: undefined,
		}),
		decodeConfiguration: () => ({
			version: 1, routes: [], services: [], workspaces: [], unreadParts: [],
		}),
	} as unknown as StoreCodec;

	/** Runs the pauses between calls, so that all watches have sent their next call. */
	const sendNextCalls = async (): Promise<void> => {
		for (const run of scheduled.splice(0)) {
			run();
		}

		await waitForTurn();
	};

	const pass = (durationMs: number): void => {
		monotonic += durationMs;
		wall += durationMs;
	};

	beforeEach(async () => {
		monotonic = 1000;
		wall = 1_000_000;
		scheduled = [];
		answerWatch = undefined;
		const log: DecisionLog = {
			write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
		};
		const readClocks = () => ({monotonic, wall});
		source = new StateSourceTask({
			self: {id: 'e1', failureDomain: 'east'}, store, timer, log, metrics: new RelayMetrics(), bounds, readClocks, random: () => 0, isFirstStart: false,
			listRunningPeers: () => [], countFollowers: () => 0, publish: () => undefined, closeFollowers: () => undefined,
		});
		const relayed: Pick<StateSourceTask, 'start' | 'confirmNow'> = {
			async start(plans, given) {
				handlers = given;
				await source.start(plans, given);
			},
			confirmNow() {
				source.confirmNow();
			},
		};
		task = new StoreStateTask({
			entryId: 'e1', source: relayed, codec, timer, log, bounds, readClocks,
			isLeaving: () => false, notifyServers: () => undefined, notifyConfiguration: () => undefined, notifyEntries: () => undefined, notifyQuarantine: () => undefined,
		});
		await task.start();
		await sendNextCalls();
	});

	describe('credentials', () => {
		it('are confirmed as of the time at which the answered call was sent', async () => {
			pass(1500);
			answerWatch?.();
			await waitForTurn();
			expect(task.computeConfigurationAgeMs()).to.equal(1500);
			pass(4000);
			expect(task.hasFreshCredentials()).to.equal(false);
		});

		// Guards against a removed credential that is accepted for longer than the revocation time: the instance is suspended while a
		// watch call waits, the answer dates from before the suspension, and the monotonic clock does not count the suspension.
		it('stay unconfirmed after an answer to a call that was sent before a suspension', async () => {
			pass(500);
			wall += 4000;
			answerWatch?.();
			await waitForTurn();
			expect(task.hasFreshCredentials()).to.equal(false);
			await sendNextCalls();
			pass(100);
			answerWatch?.();
			await waitForTurn();
			expect(task.hasFreshCredentials()).to.equal(true);
		});

		// Guards against seconds of refused requests after each step of the wall clock: the call that waits was sent before the step, so
		// that its answer confirms nothing.
		it('are confirmed by a list at once when the clocks have moved apart', async () => {
			wall += 2000;
			checkClocks();
			expect(task.hasFreshCredentials()).to.equal(false);
			await waitForTurn();
			await sendNextCalls();
			expect(task.hasFreshCredentials()).to.equal(true);
		});
	});

	describe('a store that has lost changes', () => {
		const buildState = (keys: string[], isRestored: boolean) => ({
			objects: new Map(keys.map(key => [key, {version: 1, value: {}}])), changedKeys: keys, sentAt: monotonic, sentAtWall: wall, isRestored, isList: true, revision: 2, era: 2,
		});

		// Guards against a server that has left and is used again: the state that follows the loss comes as a whole, in another map, and the
		// earlier one was applied again at the end of the grace time.
		it('does not bring a server back that has left since', () => {
			handlers.notify('servers', buildState(['servers/a'], false));
			handlers.notify('servers', buildState(['servers/a'], true));
			handlers.notify('servers', buildState([], false));
			expect(task.listServers().map(({id}) => id)).to.deep.equal(['a']);
			pass(2001);
			for (const run of scheduled.splice(0)) {
				run();
			}

			expect(task.listServers()).to.deep.equal([]);
		});
	});
});
