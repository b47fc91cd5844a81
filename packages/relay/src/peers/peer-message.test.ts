import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {noLoad} from '@knapweedrack/core';
import {decodePeerDatagram, encodeDomainSummary, encodePeerMessage} from './peer-message.js';

describe('peer messages', () => {
	it('decodes an encoded message without loss', () => {
		const message = {
			entryId: 'a', bootId: 'b', sequence: 3, isReady: true, isStopping: false, isCutOff: true, callerAddress: '127.0.0.1:1', version: 9,
			loads: [{
				serverId: 's', load: {
					...noLoad, requests: 2, decodingRequests: 1, prefillMs: 40, helperPrefillMs: 30, pauses: [{targetMs: 200, streams: 2, value: 9}], prefills: [{ageMs: 5, targetMs: 300, value: 9}],
				},
			}],
			waiting: [{
				service: 'chat', urgency: 2, requests: 3, cost: 900,
			}],
		};
		expect(decodePeerDatagram(encodePeerMessage(message), 0)).to.deep.equal({type: 'entry', message});
	});

	it('decodes an encoded summary without loss', () => {
		const summary = {
			failureDomain: 'north', collectorId: 'a', bootId: 'b', sequence: 4, isRelayed: false,
			loads: [{serverId: 's', load: {...noLoad, requests: 2, decodingRequests: 1}}],
			waiting: [{
				service: 'chat', urgency: 2, requests: 3, cost: 900,
			}],
			entries: [{
				entryId: 'c', bootId: 'd', isReady: true, isStopping: false, isCutOff: true, callerAddress: '127.0.0.1:1', version: 9, ageMs: 120,
			}],
		};
		expect(decodePeerDatagram(encodeDomainSummary(summary), 0)).to.deep.equal({type: 'summary', summary});
	});

	// Guards against reports of an earlier version of the entry that are dropped, which would hide its load.
	it('reads a message that does not say what waits', () => {
		const state = {
			entryId: 'a', bootId: 'b', sequence: 3, isReady: true, isStopping: false, isCutOff: false, callerAddress: '127.0.0.1:1', version: 9, loads: [], waiting: [],
		};
		const bytes = encodePeerMessage(state);
		expect(bytes.toString()).not.to.contain('waiting');
		expect(decodePeerDatagram(bytes, 0)).to.deep.equal({type: 'entry', message: state});
	});

	// Guards against datagrams from other senders that crash the process or are accepted as messages.
	it('drops a datagram that is not a valid message', () => {
		expect(decodePeerDatagram(Buffer.from('hello'), 0)).to.equal(undefined);
		expect(decodePeerDatagram(Buffer.from('{"entryId":"a","loads":[["s","many"]]}'), 0)).to.equal(undefined);
	});
});
