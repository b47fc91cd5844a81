import {expect} from 'chai';
import {LeavingServers} from './leaving-servers.js';
import {maxBackoffMs, ServerBackoffTable} from './server-backoff-table.js';

const server = {id: 's', bootId: 'b'};

describe('ServerBackoffTable', () => {
	let table: ServerBackoffTable;

	beforeEach(() => {
		table = new ServerBackoffTable();
	});

	it('holds requests back until the end of the backoff', () => {
		expect(table.record(server, 3000, {now: 100})).to.equal(true);
		expect(table.getHold(server, 1100)).to.deep.equal({leftMs: 2000, ageMs: 1000});
		expect(table.isBackingOff(server, 3099)).to.equal(true);
		expect(table.getHold(server, 3100)).to.equal(undefined);
	});

	// Guards against a second, shorter answer that ends the backoff of the first one.
	it('keeps the later end of two backoffs', () => {
		table.record(server, 3000, {now: 0});
		expect(table.record(server, 1000, {now: 500})).to.equal(false);
		expect(table.isBackingOff(server, 2999)).to.equal(true);
		expect(table.record(server, 3000, {now: 500})).to.equal(true);
		expect(table.isBackingOff(server, 3499)).to.equal(true);
	});

	// Guards against a backoff that outlives the incarnation which asked for it.
	it('applies to one incarnation', () => {
		table.record(server, 3000, {now: 0});
		expect(table.getHold({id: 's', bootId: 'c'}, 10)).to.equal(undefined);
		table.record({id: 's', bootId: 'c'}, 1000, {now: 10});
		expect(table.isBackingOff({id: 's', bootId: 'c'}, 20)).to.equal(true);
	});

	it('ignores no time, and limits an absurd one', () => {
		expect(table.record(server, 0, {now: 0})).to.equal(false);
		expect(table.record(server, -5, {now: 0})).to.equal(false);
		table.record(server, Number.POSITIVE_INFINITY, {now: 0});
		expect(table.isBackingOff(server, maxBackoffMs - 1)).to.equal(true);
		expect(table.isBackingOff(server, maxBackoffMs)).to.equal(false);
	});

	describe('after its end', () => {
		beforeEach(() => {
			table.record(server, 1000, {now: 0});
			table.recordSent(server, 1200);
		});

		// Guards against all waiting requests that come back at the moment in which a backoff ends.
		it('lets a single request through until it is accepted', () => {
			expect(table.getHold(server, 1201)).to.deep.equal({leftMs: 499, ageMs: 1201});
			expect(table.isUnconfirmed(server, 1201)).to.equal(true);
			table.recordAccepted(server, 1200);
			expect(table.isUnconfirmed(server, 1202)).to.equal(false);
			expect(table.getHold(server, 1202)).to.equal(undefined);
			table.recordSent(server, 1202);
			expect(table.getHold(server, 1203)).to.equal(undefined);
		});

		// Guards against the late answer to a request that was sent before the backoff.
		it('does not take an earlier request for the first one', () => {
			table.recordAccepted(server, 900);
			expect(table.getHold(server, 1201)).to.not.equal(undefined);
		});

		// Guards against a server that stays held back because its first request takes long or was lost.
		it('lets others through after a while without an answer', () => {
			expect(table.getHold(server, 1700)).to.equal(undefined);
			table.recordSent(server, 1700);
			expect(table.getHold(server, 1701)).to.equal(undefined);
		});

		it('holds back again when the server asks for it again', () => {
			table.record(server, 1000, {now: 1210});
			expect(table.isBackingOff(server, 2209)).to.equal(true);
			expect(table.getHold(server, 2211)).to.equal(undefined);
		});
	});
});

describe('LeavingServers', () => {
	it('knows the incarnations that leave', () => {
		const leaving = new LeavingServers();
		expect(leaving.add(server, 5)).to.equal(true);
		expect(leaving.add(server, 6)).to.equal(false);
		expect(leaving.has(server)).to.equal(true);
		expect(leaving.has({id: 's', bootId: undefined})).to.equal(false);
		leaving.add({id: 't', bootId: undefined}, 7);
		expect(leaving.list()).to.deep.equal([{...server, toldAt: 5}, {id: 't', bootId: undefined, toldAt: 7}]);
	});
});
