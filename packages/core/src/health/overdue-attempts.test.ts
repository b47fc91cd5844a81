import {expect} from 'chai';
import {OverdueAttempts} from './overdue-attempts.js';

describe('OverdueAttempts', () => {
	// Guards against requests that hang on an instance that was lost without a connection reset.
	it('lists the attempts of a server when all of them are overdue', () => {
		const overdue = new OverdueAttempts();
		const [a, b, c] = [Symbol('a'), Symbol('b'), Symbol('c')];
		overdue.set(a, 'dark', 100);
		overdue.set(b, 'dark', 150);
		overdue.set(c, 'slow', 100);
		overdue.set(Symbol('d'), 'slow', 900);
		expect(overdue.listSilent(140)).to.deep.equal([]);
		expect(overdue.listSilent(160).map(({key}) => key)).to.deep.equal([a, b]);
	});

	// Guards against treating a slow server as lost.
	it('does not list a server while one of its attempts receives bytes', () => {
		const overdue = new OverdueAttempts();
		const key = Symbol('a');
		overdue.set(key, 's', 100);
		overdue.set(key, 's', 700);
		expect(overdue.listSilent(500)).to.deep.equal([]);
		overdue.remove(key);
		expect(overdue.listSilent(900)).to.deep.equal([]);
	});
});
