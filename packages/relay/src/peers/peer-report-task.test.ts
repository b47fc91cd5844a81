import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	LoadTable, type WaitingDemand, type ChainPosition, type ServerWork,
} from '@knapweedrack/core';
import {createTimerService} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {RegisteredEntry, StoreCodec} from '../contracts.js';
import {BackendConnections} from '../exchange/backend-connections.js';
import {createDirectOpener, openTcpSocket} from '../exchange/connection-opener.js';
import type {DecisionLog} from '../logging/decision-log.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {CrashDetectionTask, crashEvidence, lossKinds} from '../quarantine/crash-detection-task.js';
import {QuarantineTask} from '../quarantine/quarantine-task.js';
import {PeerReportTask} from './peer-report-task.js';

const host = '127.0.0.1';
const refusingAddress = `${host}:1`;
const log: DecisionLog = {
	write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
};
const work: ServerWork = {
	prefillTokens: 0, prefillMs: 0, memoryTokens: 600, contextTokens: 500, sentAt: 0, firstTokenAt: 0, isDecoding: true, isHelperPart: false,
	pauseTargetMs: 200, targetMs: 300, value: 100,
};

type Member = {id: string; entry: RegisteredEntry; task: PeerReportTask; quarantine: QuarantineTask; detection: CrashDetectionTask; loads: LoadTable; waiting: WaitingDemand[]; isStopping: boolean; isKilled: boolean};

const waitUntil = async (condition: () => boolean, limitMs = 5000): Promise<void> => {
	const deadline = Date.now() + limitMs;
	while (!condition()) {
		if (Date.now() > deadline) {
			throw new Error('the condition was not met before the time limit');
		}

		await sleep(20);
	}
};

/** Finds free UDP ports; all are bound at the same time, so that none is found twice. */
const findFreePorts = async (count: number): Promise<number[]> => {
	const sockets = Array.from({length: count}, () => createSocket('udp4'));
	const ports = await Promise.all(sockets.map(async socket => {
		socket.bind(0, host);
		await once(socket, 'listening');
		return socket.address().port;
	}));
	await Promise.all(sockets.map(async socket => {
		socket.close();
		await once(socket, 'close');
	}));
	return ports;
};

describe('reports between entries', () => {
	const timer = createTimerService();
	let members: Member[] = [];
	let storeWrites: string[] = [];

	const buildQuarantine = ({id, entry: {failureDomain}, task, detection}: Member): QuarantineTask => {
		const metrics = new RelayMetrics();
		const store: Pick<ObjectStore, 'put'> = {
			async put(key) {
				storeWrites.push(key);
				return {ok: true, value: {version: 1}};
			},
		};
		const codec: Pick<StoreCodec, 'quarantinePrefix' | 'encodeQuarantine'> = {quarantinePrefix: 'quarantine/', encodeQuarantine: quarantine => quarantine};
		return new QuarantineTask({
			entryId: id, failureDomain, timer, log, metrics, store: store as ObjectStore, codec: codec as StoreCodec,
			detection,
			sendCrashReport(report, recipientId) {
				task.sendCrashReport(report, recipientId);
			},
			isForwarder: origin => task.isForwarder(origin),
			isFirstServing: () => id === 'east-0',
			readWallClock: Date.now,
		});
	};

	const buildDetection = (member: Member): CrashDetectionTask => new CrashDetectionTask({
		timer, metrics: new RelayMetrics(), connections: new BackendConnections({
			openConnection: createDirectOpener(openTcpSocket), isUsable: () => true, isRefusingRequests: () => false, confirmRunning: async () => true, notifyReceived: () => undefined, notifyStaleAnswer: () => undefined,
		}),
		openSocket: openTcpSocket, checkReplaced: async () => false, findServer: () => undefined,
		// The check of a killed entry has no result.
		confirmEnd: async () => member.isKilled ? new Promise<boolean>(() => {}) : true, // eslint-disable-line @typescript-eslint/no-empty-function
		notifyCrash(attempt, evidence) {
			member.quarantine.recordCrash(attempt, evidence);
		},
		notifyLoss(attempt) {
			member.quarantine.recordLoss(attempt);
		},
		notifyChecked({attemptId}) {
			member.quarantine.withdrawLoss(attemptId);
		},
	});

	const buildMember = (entry: RegisteredEntry, bootId: string): Member => {
		const member: Member = {
			id: entry.id, entry, loads: new LoadTable(), isStopping: false, isKilled: false, waiting: [], task: undefined!, quarantine: undefined!, detection: undefined!,
		};
		member.task = new PeerReportTask({
			entryId: entry.id, bootId, failureDomain: entry.failureDomain, callerAddress: entry.callerAddress,
			address: {host, port: Number(entry.peerAddress.split(':')[1])}, timer, log, metrics: new RelayMetrics(), loads: member.loads,
			isReady: () => true, isStopping: () => member.isStopping, isCutOff: () => false, getVersion: () => 1,
			listWaiting: () => member.waiting,
			notifyReported: () => undefined,
			acceptCrashReport(report) {
				member.quarantine.acceptCrashReport(report);
			},
			acceptLimitReport: () => undefined,
			acceptNoticeReport: () => undefined,
			notifyStarted(entryId) {
				member.quarantine.handleEntryStarted(entryId);
			},
		});
		member.detection = buildDetection(member);
		member.quarantine = buildQuarantine(member);
		return member;
	};

	const startMember = async ({task, quarantine}: Member, entries: readonly RegisteredEntry[]): Promise<void> => {
		await task.start();
		quarantine.start();
		task.applyEntries(new Map(entries.map(entry => [entry.id, entry])));
	};

	const start = async (perDomain: number): Promise<void> => {
		const ports = await findFreePorts(perDomain * 3);
		const entries = ['east', 'north', 'west'].flatMap((failureDomain, domain) => Array.from({length: perDomain}, (_, index): RegisteredEntry => ({
			id: `${failureDomain}-${index}`, failureDomain, callerAddress: `${host}:1`, peerAddress: `${host}:${ports[(domain * perDomain) + index]}`,
		})));
		members = entries.map(entry => buildMember(entry, 'boot'));
		storeWrites = [];
		for (const member of members) {
			await startMember(member, entries);
		}
	};

	const find = (id: string): Member => members.find(member => member.id === id)!;
	const countRequests = ({loads}: Member): number => loads.computeLoad('server', timer.now()).requests;

	/** Loses attempts with one content on three servers at the same address. */
	const loseAttempts = ({detection}: Member, address: string): void => {
		for (const server of [1, 2, 3]) {
			void detection.recordLoss({
				positions: [{fingerprint: 'x', chainLength: 1}], attemptId: `a${server}`, serverId: `s${server}`, bootId: 'b',
			}, address, lossKinds.connection);
		}
	};

	const closeMember = (member: Member): void => {
		member.isKilled = true;
		member.quarantine.stop();
		member.task.close();
	};

	afterEach(() => {
		for (const member of members) {
			closeMember(member);
		}
	});
	after(() => {
		timer.stop();
	});

	const describeFleet = (name: string, perDomain: number): void => {
		describe(name, () => {
			// Guards against load that an entry does not receive, or counts twice because it arrives both directly and in a summary.
			it('reports the load of each entry to every other entry exactly once', async () => {
				await start(perDomain);
				const keys = members.map(({loads, task}) => {
					const key = loads.add('server', {...work});
					task.notifyLoad('server');
					return key;
				});
				await waitUntil(() => members.every(member => countRequests(member) === members.length));
				await sleep(700);
				expect(members.map(member => countRequests(member))).to.deep.equal(members.map(() => members.length));
				for (const [index, {loads, task}] of members.entries()) {
					loads.remove('server', keys[index]!);
					task.notifyLoad('server');
				}

				await waitUntil(() => members.every(member => countRequests(member) === 0), 1500);
			});

			// Guards against entries that leave no room to more urgent requests elsewhere, or leave it after these have been served.
			it('reports what waits at one entry to every other entry, and that it no longer does', async () => {
				await start(perDomain);
				const demand = {
					service: 'chat', urgency: 0, requests: 2, cost: 900,
				};
				const sender = find('north-1');
				const others = members.filter(member => member !== sender);
				await waitUntil(() => others.every(({task}) => task.listWaitingElsewhere() !== undefined));
				sender.waiting = [demand];
				sender.task.notifyWaiting();
				await waitUntil(() => others.every(({task}) => task.listWaitingElsewhere()?.length === 1), 1500);
				expect(others.map(({task}) => task.listWaitingElsewhere())).to.deep.equal(others.map(() => [demand]));
				sender.waiting = [];
				sender.task.notifyWaiting();
				await waitUntil(() => others.every(({task}) => task.listWaitingElsewhere()?.length === 0), 1500);
			});

			// Guards against content that goes on ending servers at entries which saw none of the earlier crashes.
			it('refuses content at every entry once three servers ended under it, one after the other', async () => {
				await start(perDomain);
				await waitUntil(() => members.every(({task}) => task.listServingAddresses().length === members.length - 1));
				const content = 'c0ffee';
				const observers = [find('north-1'), find('east-0'), find('west-1')];
				const startRun = (quarantine: QuarantineTask): ChainPosition[] => {
					const positions = quarantine.startRun([content]);
					quarantine.endRun([content]);
					return positions;
				};

				const isKnown = (crashes: number): boolean => members.every(({quarantine}) => startRun(quarantine)[0]!.chainLength === crashes + 1);
				for (const [index, {quarantine}] of observers.entries()) {
					quarantine.recordCrash({
						positions: startRun(quarantine), attemptId: `a${index}`, serverId: `s${index}`, bootId: 'b',
					}, crashEvidence.refused);
					await waitUntil(() => isKnown(index + 1), 1000);
				}

				expect(members.map(({quarantine}) => quarantine.isRefused([content]))).to.deep.equal(members.map(() => true));
				expect(members.map(({quarantine}) => quarantine.isRefused(['other']))).to.deep.equal(members.map(() => false));
				await waitUntil(() => storeWrites.length > 0);
				await sleep(500);
				expect(storeWrites.length).to.be.at.most(observers.length);
			});

			// Guards against content that ends servers at an entry which was restarted, before it has read the store or while that is away.
			it('tells an entry that starts of the content that is refused', async () => {
				await start(perDomain);
				await waitUntil(() => members.every(({task}) => task.listServingAddresses().length === members.length - 1));
				for (const server of [1, 2, 3]) {
					find('north-1').quarantine.recordCrash({
						positions: [{fingerprint: 'x', chainLength: server}], attemptId: `a${server}`, serverId: `s${server}`, bootId: 'b',
					}, crashEvidence.refused);
				}

				await waitUntil(() => members.every(({quarantine}) => quarantine.isRefused(['x'])));
				// Repetitions of the report have ended by then.
				await sleep(3000);
				const ended = find('north-0');
				ended.quarantine.stop();
				ended.task.close();
				const entries = members.map(({entry}) => entry);
				const started = buildMember(ended.entry, 'next boot');
				members = members.map(member => member === ended ? started : member);
				await startMember(started, entries);
				await waitUntil(() => started.quarantine.isRefused(['x']), 1500);
			});

			// Guards against crashes that are forgotten because the entry that saw them is killed before it has checked whether the servers have ended.
			it('remembers servers that ended just before the only entry that knew of them', async () => {
				await start(perDomain);
				await waitUntil(() => members.every(({task}) => task.listServingAddresses().length === members.length - 1));
				const killed = find('east-1');
				loseAttempts(killed, refusingAddress);
				// The operating system sends what was passed to the socket before the process was killed.
				await sleep(5);
				closeMember(killed);
				members = members.filter(member => member !== killed);
				await waitUntil(() => members.every(({id, quarantine}) => quarantine.isRefused(['x']) === (id !== 'east-0') && quarantine.size === 1), 4000);
				find('west-0').quarantine.recordCompletion(['x']);
				await waitUntil(() => members.every(({quarantine}) => quarantine.size === 0), 1000);
			});

			// Guards against refusing content because connections to servers that go on running were reset.
			it('forgets lost attempts whose servers have not ended', async () => {
				await start(perDomain);
				await waitUntil(() => members.every(({task}) => task.listServingAddresses().length === members.length - 1));
				const server = createServer().listen(0, host);
				await once(server, 'listening');
				loseAttempts(find('east-1'), `${host}:${(server.address() as AddressInfo).port}`);
				// Attempts that are not withdrawn count after 2 s at the latest.
				await sleep(2500);
				server.close();
				expect(members.map(({quarantine}) => quarantine.size)).to.deep.equal(members.map(() => 0));
			});

			// Guards against content that stays refused after servers ended for another reason, although one entry has seen it complete.
			it('clears content at every entry when it completes at one', async () => {
				await start(perDomain);
				await waitUntil(() => members.every(({task}) => task.listServingAddresses().length === members.length - 1));
				find('east-1').quarantine.recordCrash({
					positions: [{fingerprint: 'x', chainLength: 1}], attemptId: 'a', serverId: 's', bootId: 'b',
				}, crashEvidence.store);
				await waitUntil(() => members.every(({quarantine}) => quarantine.size === 1), 1000);
				find('west-0').quarantine.recordCompletion(['x']);
				await waitUntil(() => members.every(({quarantine}) => quarantine.size === 0), 1000);
			});

			// Guards against entries that are stopping or have crashed and are still listed for callers.
			it('detects entries that are stopping and entries that have crashed', async () => {
				await start(perDomain);
				const [stopping, dead, observer] = [find('north-1'), find('east-0'), find('west-1')];
				await waitUntil(() => observer.task.listServingAddresses().length === members.length - 1, 2000);
				stopping.isStopping = true;
				stopping.task.notifyState();
				await waitUntil(() => !observer.task.isRunning('north-1'), 1000);
				dead.task.close();
				members = members.filter(member => member !== dead);
				await waitUntil(() => !observer.task.isRunning('east-0'), 6000);
				// The crashed entry was the collector of its failure domain; the reports of the other entries there must still arrive.
				await sleep(4500);
				expect(observer.task.isServing('east-1')).to.equal(true);
			}).timeout(20_000);
		});
	};

	describeFleet('small fleet', 2);
	describeFleet('large fleet, through collectors', 5);
});
