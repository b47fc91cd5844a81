import {expect} from 'chai';
import fc from 'fast-check';
import {
	EngineOrderTracker, orderLifetimeMs, type EngineOrderRecord, type EngineOrderState, type OrderCommand,
} from './engine-order-tracker.js';

/** Model engine that ignores expired orders. It refuses lower fencing numbers only if `isFencingChecked` is set. */
class Engine {
	state: EngineOrderState = {
		model: 'old', version: '1', adapters: [], role: 'decode',
	};

	highest = 0;

	constructor(readonly isFencingChecked: boolean) {}

	accept(order: EngineOrderRecord, sentAt: number, now: number): 'accepted' | 'stale' {
		if (this.isFencingChecked && order.fencingNumber < this.highest) {
			return 'stale';
		}

		this.highest = Math.max(this.highest, order.fencingNumber);
		if (now < sentAt + order.expiresInMs) {
			this.state = {...this.state, model: order.target};
		}

		return 'accepted';
	}
}

describe('EngineOrderTracker', () => {
	const target = {serverId: 's', kind: 'load_model' as const, target: 'new'};
	const owner = () => ({isOwner: true, fencingNumber: 7});

	// Guards against an order of a former owner that takes effect last, both at engines that check fencing numbers and at
	// engines that do not.
	it('leaves the engine in the state that the present owner ordered', () => {
		const delay = fc.integer({min: 0, max: orderLifetimeMs + 1000});
		fc.assert(fc.property(fc.boolean(), fc.array(delay, {maxLength: 5}), fc.array(fc.boolean(), {maxLength: 10}), (isFencingChecked, lateOrders, losses) => {
			const engine = new Engine(isFencingChecked);
			const tracker = new EngineOrderTracker();
			const formerOwnerOrder: EngineOrderRecord = {
				...target, target: 'former', orderId: 'f', fencingNumber: 6, expiresInMs: orderLifetimeMs,
			};
			let finished: string | undefined;
			const run = (commands: OrderCommand[], now: number): void => {
				for (const command of commands) {
					if (command.type === 'send') {
						const result = losses.pop() ? 'lost' : engine.accept(command.order, now, now);
						run(tracker.handle({type: 'answer', orderId: command.order.orderId, result}, owner, now), now);
					} else if (command.type === 'readBack') {
						run(tracker.handle({
							type: 'state', serverId: 's', state: engine.state, sentAt: now,
						}, owner, now), now);
					} else {
						finished = command.result;
					}
				}
			};

			run(tracker.handle({type: 'request', orderId: 'o', target}, owner, 0), 0);
			for (let now = 100; now < 100_000 && tracker.size > 0; now += 100) {
				for (const at of lateOrders) {
					if (at >= now - 100 && at < now) {
						engine.accept(formerOwnerOrder, 0, now);
					}
				}

				run(tracker.handle({type: 'tick'}, owner, now), now);
			}

			expect(finished).to.equal('in_effect');
			expect(engine.state.model).to.equal('new');
		}), {seed: 21, numRuns: 1000});
	});

	// Guards against an order that is sent after ownership was lost.
	it('checks the lease right before sending an order', () => {
		const tracker = new EngineOrderTracker();
		const lost = () => ({isOwner: false, fencingNumber: 7});
		expect(tracker.handle({type: 'request', orderId: 'o', target}, lost, 0)).to.deep.equal([{type: 'finished', orderId: 'o', result: 'ownership_lost'}]);
		tracker.handle({type: 'request', orderId: 'p', target}, owner, 0);
		expect(tracker.handle({type: 'answer', orderId: 'p', result: 'stale'}, owner, 10)).to.deep.equal([{type: 'finished', orderId: 'p', result: 'ownership_lost'}]);
		expect(tracker.size).to.equal(0);
	});
});
