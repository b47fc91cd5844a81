import {expect} from 'chai';
import {initialAvailability} from '../drain/index.js';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {Heartbeat, SessionRecord} from '../types/session.js';
import {mergeBackendServers} from './backend-server-list.js';
import {HeartbeatTable, heartbeatFreshnessMs, storeRegainGraceMs} from './heartbeat-table.js';
import {selectAdvertisedEntries} from './select-advertised-entries.js';
import {SessionLease, sessionTtlMs} from './session-lease.js';
import {SessionObserver} from './session-observer.js';

const session = (entryId: string, renewal: number, changes: Partial<SessionRecord> = {}): SessionRecord => ({
	entryId, epoch: '1', callerAddress: entryId, peerAddress: entryId, failureDomain: 'north', region: 'r',
	state: 'serving', configurationRevision: 0, availabilityRevision: 0, renewal, ...changes,
});

describe('SessionLease', () => {
	// Guards against an entry that never gets a lease because the object API was away at its start or for longer than a session.
	it('starts again with the first renewal after an outage, however often the clock is checked', () => {
		const lease = new SessionLease();
		const checkUntil = (from: number, to: number) => {
			for (let now = from; now <= to; now += 250) {
				lease.checkClock(now, now);
			}
		};

		const renew = (sentAt: number) => {
			lease.checkClock(sentAt + 5, sentAt + 5);
			return lease.recordRenewal(sentAt, sentAt + 5);
		};

		checkUntil(0, 10_000);
		expect(renew(10_100)).to.equal(true);
		checkUntil(10_200, 30_000);
		expect(lease.isValid(30_000)).to.equal(false);
		expect(renew(30_100)).to.equal(true);
	});

	// Guards against a lease that is extended by the time its renewal took.
	it('is valid from the sending time of the renewal', () => {
		const lease = new SessionLease();
		expect(lease.recordRenewal(1000, 5000)).to.equal(true);
		expect(lease.isValid(1000 + sessionTtlMs - 1)).to.equal(true);
		expect(lease.isValid(1000 + sessionTtlMs)).to.equal(false);
		expect(lease.recordRenewal(2000, 2000 + sessionTtlMs)).to.equal(false);
	});

	// Guards against a holder that was paused or suspended and still takes its lease for valid.
	it('ends with a gap of the own clock or a stop of the monotonic clock', () => {
		const paused = new SessionLease();
		paused.checkClock(0, 0);
		paused.recordRenewal(0, 10);
		expect(paused.checkClock(1000, 1000)).to.equal(false);
		expect(paused.checkClock(7000, 7000)).to.equal(true);

		const suspended = new SessionLease();
		suspended.checkClock(0, 0);
		suspended.recordRenewal(900, 910);
		expect(suspended.checkClock(1000, 31_000)).to.equal(true);
		expect(suspended.recordRenewal(950, 1010)).to.equal(false);
		expect(suspended.recordRenewal(1020, 1030)).to.equal(true);
	});
});

describe('SessionObserver', () => {
	// Guards against a takeover from a live entry whose renewals did not reach this observer.
	it('judges expiry only by a read that was sent after the margin', () => {
		const observer = new SessionObserver();
		observer.acceptList([session('a', 1)], 0, 10);
		observer.accept('a', session('a', 1), 6000, 60_000);
		expect(observer.isLive('a', 60_000)).to.equal(false);
		expect(observer.isExpired('a', '1')).to.equal(false);
		observer.accept('a', session('a', 2), 60_000, 60_010);
		expect(observer.isLive('a', 60_010)).to.equal(true);
		observer.accept('a', session('a', 2), 67_010, 67_020);
		expect(observer.isExpired('a', '1')).to.equal(true);
	});

	// Guards against a restarted entry that takes over from its former process while that still holds a lease.
	it('counts a former epoch from the first sight of the new one', () => {
		const observer = new SessionObserver();
		observer.acceptList([session('a', 9)], 0, 10);
		observer.acceptList([session('a', 1, {epoch: '2'})], 1000, 1010);
		observer.acceptList([session('a', 2, {epoch: '2'})], 8000, 8005);
		expect(observer.isExpired('a', '1')).to.equal(false);
		observer.acceptList([session('a', 3, {epoch: '2'})], 8010, 8020);
		expect(observer.isExpired('a', '1')).to.equal(true);
		expect(observer.isExpired('a', '2')).to.equal(false);
	});
});

describe('HeartbeatTable', () => {
	const heartbeat = (reachesStore: boolean): Heartbeat => ({
		entryId: 'a', epoch: '1', failureDomain: 'north', state: 'serving', reachesStore, configurationRevision: 3, availabilityRevision: 0,
	});

	// Guards against an old answer that keeps an unreachable entry fresh.
	it('counts age from the sending time', () => {
		const table = new HeartbeatTable();
		table.accept(heartbeat(true), 1000);
		table.accept(heartbeat(false), 500);
		expect(table.get('a', 1000 + heartbeatFreshnessMs)?.reachesStore).to.equal(true);
		expect(table.get('a', 1001 + heartbeatFreshnessMs)).to.equal(undefined);
		expect(table.findHighestRevision('configurationRevision', 2000)).to.deep.equal({entryId: 'a', revision: 3});
	});

	// Guards against all owners that stop at once when the first entry reaches the object API again.
	it('gives owners time to renew after an outage', () => {
		const table = new HeartbeatTable();
		table.accept(heartbeat(false), 1000);
		table.accept(heartbeat(true), 1500);
		expect(table.isTakeoverPossible('a', 2000)).to.equal(false);
		table.accept(heartbeat(true), 1000 + storeRegainGraceMs);
		expect(table.isTakeoverPossible('a', 1001 + storeRegainGraceMs)).to.equal(true);
	});
});

describe('mergeBackendServers', () => {
	const server: BackendServerDescription = {
		id: 's', address: 's', kind: 'engine', failureDomain: 'north', serves: 'm', state: 'live',
	};

	// Guards against new work for a server that said it is leaving while the list lags, and the reverse.
	it('takes a server as leaving as soon as either says so', () => {
		const report = {bootId: 'b', state: 'leaving' as const};
		expect(mergeBackendServers([server], new Map([['s', report]]))[0]!.state).to.equal('leaving');
		expect(mergeBackendServers([{...server, state: 'leaving'}], new Map([['s', {...report, state: 'live' as const}]]))[0]!.state).to.equal('leaving');
		expect(mergeBackendServers([server], new Map())[0]!.state).to.equal('live');
	});
});

describe('selectAdvertisedEntries', () => {
	// Guards against callers that are sent to an entry that stops or whose failure domain is out of service.
	it('names owners first and omits stopping and drained entries', () => {
		const sessions = [
			session('a', 1), session('b', 1, {state: 'stopping'}), session('c', 1, {failureDomain: 'south'}), session('d', 1), session('e', 1),
		];
		const hash = (text: string) => [...text].reduce((sum, character) => Math.imul(sum, 31) + character.codePointAt(0)!, 7);
		const selected = selectAdvertisedEntries({
			sessions, availability: {...initialAvailability, failureDomains: {south: 'out_of_service'}},
			ownedServers: new Map([['d', 3]]), spreadKey: 'w', hash,
		});
		expect(selected.map(({entryId}) => entryId)).to.have.members(['a', 'd', 'e']);
		expect(selected[0]!.entryId).to.equal('d');
	});
});
