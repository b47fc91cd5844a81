import {expect} from 'chai';
import {MemoryLedger, type MemoryKind} from '@knapweedrack/core';
import {BodyArrivals} from './body-arrivals.js';

const fillKinds = (bytes: number): Record<MemoryKind, number> => ({
	head: bytes, body: bytes, answer: bytes, held: bytes, tunnel: bytes,
});

describe('bodies in arrival', () => {
	let time: number;
	let memory: MemoryLedger;
	let arrivals: BodyArrivals;
	let evicted: string[];

	const begin = (name: string, workspace = name) => arrivals.begin(workspace, () => {
		evicted.push(name);
	});

	beforeEach(() => {
		time = 0;
		evicted = [];
		memory = new MemoryLedger({budgetBytes: 3000, kindBytes: fillKinds(900), workspaceBytes: fillKinds(500)});
		arrivals = new BodyArrivals(memory, () => time);
	});

	// Guards against a crowd of unfinished bodies that takes the room of ordinary callers.
	it('give way to newer ones when their share is full, the slowest and largest first', () => {
		const crowd = begin('crowd');
		expect(crowd.tryReserve(400)).to.equal(true);
		time = 100;
		const small = begin('small');
		expect(small.tryReserve(100)).to.equal(true);
		const ordinary = begin('ordinary');
		expect(ordinary.tryReserve(300)).to.equal(true);
		expect(evicted).to.deep.equal(['crowd']);
		expect(crowd.tryReserve(1)).to.equal(false);
		expect(memory.getHeldBytes()).to.equal(400);
		expect(arrivals.heldBytes).to.equal(400);
	});

	// Guards against a workspace that is refused for its own bodies at the cost of another one's.
	it('of other workspaces stay when only the own workspace has no room', () => {
		const other = begin('other');
		expect(other.tryReserve(50)).to.equal(true);
		time = 1000;
		const first = begin('first', 'mill');
		expect(first.tryReserve(400)).to.equal(true);
		time = 1010;
		expect(begin('second', 'mill').tryReserve(120)).to.equal(true);
		expect(evicted).to.deep.equal(['first']);
	});

	// Guards against bytes that stay accounted for after a body was given up, or that are returned before its request has ended.
	it('keep the memory of a complete body until it is released, and none of one that was given up', () => {
		const whole = begin('whole');
		expect(whole.tryReserve(300)).to.equal(true);
		whole.end(250);
		expect(memory.getHeldBytes('body')).to.equal(250);
		expect(arrivals.heldBytes).to.equal(0);
		const broken = begin('broken');
		expect(broken.tryReserve(300)).to.equal(true);
		broken.end(0);
		whole.hold.release();
		expect(memory.getHeldBytes()).to.equal(0);
	});

	// Guards against a complete body, whose request may have been run, that is refused as not run.
	it('are refused when complete bodies have taken the room', () => {
		for (const name of ['first', 'second']) {
			const whole = begin(name);
			expect(whole.tryReserve(450)).to.equal(true);
			whole.end(450);
		}

		expect(begin('late').tryReserve(1)).to.equal(false);
		expect(evicted).to.deep.equal([]);
	});
});
