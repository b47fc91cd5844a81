import {expect} from 'chai';
import {isRemoteAddress} from './addresses.js';

describe('isRemoteAddress', () => {
	it('accepts an IPv4 address with a port', () => {
		expect(['127.0.0.1:1', '10.128.1.24:8080', '255.255.255.255:65535'].filter(address => !isRemoteAddress(address))).to.deep.equal([]);
	});

	// Guards against addresses to which opening a connection throws instead of failing.
	it('accepts nothing else', () => {
		const others = ['127.0.0.1:80801', '127.0.0.1:65536', '127.0.0.1:0', '127.0.0.999:8080', '127.0.0.1', '127.0.0.1:', 'shop.example:80', '[::1]:80', '1.2.3:4', ''];
		expect(others.filter(address => isRemoteAddress(address))).to.deep.equal([]);
	});
});
