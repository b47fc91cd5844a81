import {expect} from 'chai';
import {MessagePublisher} from './mailbox.js';

describe('Mailbox', () => {
	// A message sent by a subscriber must not overtake the one being delivered.
	it('delivers in order to all subscribers', () => {
		const mailbox = new MessagePublisher<number>();
		const seen: number[] = [];
		mailbox.subscribe(message => {
			if (message === 1) {
				mailbox.publish(2);
			}
		});
		mailbox.subscribe(message => seen.push(message));
		mailbox.publish(1);
		expect(seen).to.deep.equal([1, 2]);
	});
});
