import {expect} from 'chai';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {VirtualClock} from '@knapweedrack/testkit';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {decodeNoticeReport, encodeNoticeReport, type NoticeReport} from './notice-report.js';
import {ServerNoticeTask} from './server-notice-task.js';

const server = {id: 's', bootId: 'b'};
const direct = {sentAt: 0, tunnelPeerId: undefined};

describe('ServerNoticeTask', () => {
	let clock: VirtualClock;
	let task: ServerNoticeTask;
	let reports: Array<{report: NoticeReport; recipientId: string | undefined}>;
	let users: string[];

	beforeEach(() => {
		clock = new VirtualClock();
		reports = [];
		users = [];
		const timer: TimerService = {
			now: () => clock.now,
			subscribe(periodMs, subscriber) {
				clock.scheduleEvery(periodMs, () => {
					subscriber(clock.now);
				});
				return () => undefined;
			},
			schedule: () => () => undefined,
		};
		task = new ServerNoticeTask({
			entryId: 'e1', failureDomain: 'east', timer, metrics: new RelayMetrics(),
			log: {
				write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
			},
			listTunnelSenders: () => users, isForwarder: failureDomain => failureDomain === 'west',
			sendNoticeReport(report, recipientId) {
				reports.push({report, recipientId});
			},
		});
		task.start();
	});

	const run = (untilMs: number): void => {
		clock.run(untilMs, () => false);
	};

	describe('a server that backs off', () => {
		it('concerns this entry alone', () => {
			task.recordAnswer(server, {backoffMs: 2000, isLeaving: false}, direct);
			expect(task.isRefusingRequests(server)).to.equal(true);
			expect(reports).to.deep.equal([]);
		});

		// Guards against an entry that goes on sending because the datagram that told it of a backoff was lost.
		it('is reported again, with the time that is left, to the entry that passed the connection on', () => {
			task.recordAnswer(server, {backoffMs: 900, isLeaving: false}, {sentAt: 0, tunnelPeerId: 'e2'});
			run(2000);
			expect(reports.map(({recipientId}) => recipientId)).to.deep.equal(['e2', 'e2']);
			expect(reports.map(({report}) => report.notices[0]!.backoffMs)).to.deep.equal([900, 400]);
		});

		it('is reported to the entries that use tunnels to it, but not back', () => {
			users = ['e3', 'e4'];
			task.acceptNoticeReport({
				entryId: 'e3', failureDomain: 'east', notices: [{
					...server, backoffMs: 400, isLeaving: false, ageMs: 5,
				}],
			});
			expect(task.isRefusingRequests(server)).to.equal(true);
			expect(reports.map(({recipientId}) => recipientId)).to.deep.equal(['e4']);
		});
	});

	describe('a server that leaves', () => {
		it('is reported to all entries, and again', () => {
			task.recordAnswer(server, {backoffMs: undefined, isLeaving: true}, direct);
			task.recordAnswer(server, {backoffMs: undefined, isLeaving: true}, direct);
			run(2000);
			expect(reports).to.have.length(3);
			expect(reports.every(({report, recipientId}) => recipientId === undefined && report.notices[0]!.isLeaving)).to.equal(true);
		});

		it('is passed on only where its sender does not report itself', () => {
			const notices = [{
				...server, backoffMs: undefined, isLeaving: true, ageMs: 5,
			}];
			task.acceptNoticeReport({entryId: 'e2', failureDomain: 'east', notices});
			expect(reports).to.have.length(0);
			task.acceptNoticeReport({entryId: 'e9', failureDomain: 'west', notices: [{...notices[0]!, id: 't'}]});
			expect(reports).to.have.length(1);
		});

		it('is reported to an entry that starts', () => {
			task.recordAnswer(server, {backoffMs: undefined, isLeaving: true}, direct);
			task.handleEntryStarted('e5');
			expect(reports.at(-1)!.recipientId).to.equal('e5');
		});
	});
});

describe('notice report', () => {
	it('is decoded without loss, and with defaults for what an earlier version lacks', () => {
		const report: NoticeReport = {
			entryId: 'e1', failureDomain: 'east', notices: Array.from({length: 12}, (_, index) => ({
				id: `s${index}`, bootId: undefined, backoffMs: index, isLeaving: index % 2 === 0, ageMs: 3,
			})),
		};
		const decoded = encodeNoticeReport(report).map(bytes => decodeNoticeReport(JSON.parse(bytes.toString()))!);
		expect(decoded.flatMap(({notices}) => notices)).to.deep.equal(report.notices);
		expect(decodeNoticeReport({noticesOf: 'e1', failureDomain: 'east', notices: [{id: 's', unknown: 1}]})!.notices).to.deep.equal([{
			id: 's', bootId: undefined, backoffMs: undefined, isLeaving: false, ageMs: 0,
		}]);
	});
});
