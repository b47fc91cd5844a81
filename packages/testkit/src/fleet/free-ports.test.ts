import {expect} from 'chai';
import {findFreePorts} from './free-ports.js';

describe('findFreePorts', () => {
	// Guards against a process that cannot listen because its port was assigned to a connection of another process before it started.
	it('returns distinct ports that the system assigns to no other socket', async () => {
		const ports = await findFreePorts(40);
		expect(new Set(ports).size).to.equal(40);
		expect(ports.filter(port => port >= 32_768)).to.deep.equal([]);
	});
});
