import {expect} from 'chai';
import {computeConnectionLimit, connectionBytes} from './compute-connection-limit.js';

const plenty = 1024 * 1024 * 1024;

describe('limit of connections', () => {
	// Guards against callers that take the descriptors with which the entry reaches backend servers, peers and the store.
	it('leaves descriptors for files, backend servers, peers and the store', () => {
		const limit = computeConnectionLimit({
			descriptors: 1200, serverConnections: 300, peers: 10, headBytes: plenty,
		});
		expect(limit).to.equal(1200 - 200 - 16 - 300 - 20);
	});

	// Guards against a large fleet of backend servers that leaves no descriptor for callers.
	it('leaves callers a quarter at least when there are many backend servers and peers', () => {
		expect(computeConnectionLimit({
			descriptors: 1200, serverConnections: 100_000, peers: 10_000, headBytes: plenty,
		})).to.equal(246);
	});

	// Guards against a number of connections whose memory the instance does not have.
	it('is bound by memory', () => {
		expect(computeConnectionLimit({
			descriptors: 100_000, serverConnections: 0, peers: 0, headBytes: connectionBytes * 100,
		})).to.equal(70);
	});

	// Guards against an entry that accepts nobody.
	it('is positive with few descriptors', () => {
		expect(computeConnectionLimit({
			descriptors: 1, serverConnections: 1, peers: 1, headBytes: 0,
		})).to.equal(16);
	});
});
