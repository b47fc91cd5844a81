import {expect} from 'chai';
import {MessagePublisher} from './message-publisher.js';

describe('MessagePublisher', () => {
	// A message published by a subscriber must not overtake the message being delivered.
	it('delivers in order to all subscribers', () => {
		const publisher = new MessagePublisher<number>();
		const seen: number[] = [];
		publisher.subscribe(message => {
			if (message === 1) {
				publisher.publish(2);
			}
		});
		publisher.subscribe(message => seen.push(message));
		publisher.publish(1);
		expect(seen).to.deep.equal([1, 2]);
	});
});
