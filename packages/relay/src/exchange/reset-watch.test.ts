import {expect} from 'chai';
import {watchReset, type ResetSource} from './reset-watch.js';

class SocketStandIn implements ResetSource {
	remoteAddress: string | undefined = '10.0.0.1';
	readonly #listeners: Array<{event: 'end' | 'error'; listener: () => void}> = [];

	on(event: 'end' | 'error', listener: () => void): void {
		this.#listeners.push({event, listener});
	}

	play(event: 'end' | 'error'): void {
		for (const entry of this.#listeners) {
			if (entry.event === event) {
				entry.listener();
			}
		}
	}
}

describe('watchReset', () => {
	const countResets = (play: (socket: SocketStandIn) => void): number => {
		const socket = new SocketStandIn();
		let resets = 0;
		watchReset(socket, () => {
			resets++;
		});
		play(socket);
		return resets;
	};

	it('reports an error', () => {
		expect(countResets(socket => {
			socket.play('error');
		})).to.equal(1);
	});

	// Guards against a truncated answer without a length that counts as complete. In one test run with many such
	// answers, libuv reported 46 of 95 ends as a plain end although the connection had been reset.
	it('reports an end without a remote address', () => {
		expect(countResets(socket => {
			socket.remoteAddress = undefined;
			socket.play('end');
		})).to.equal(1);
	});

	// Guards against complete answers without a length that are discarded.
	it('does not report an end with a remote address', () => {
		expect(countResets(socket => {
			socket.play('end');
		})).to.equal(0);
	});
});
