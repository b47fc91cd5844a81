import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {startAttempt} from './attempt.js';
import type {BackendConnection} from './backend-connections.js';

describe('startAttempt', () => {
	// Guards against a copy of the body for each attempt, which a backend server that reads slowly would make the entry hold.
	it('passes the same body to the connections of all attempts', () => {
		const body = Buffer.from('prompt');
		const bodies: unknown[] = [];
		const connection = {
			dispatcher: {
				dispatch(options: {body: unknown}) {
					bodies.push(options.body);
				},
			},
			expectAnswer: () => undefined, subscribeToBytes: () => undefined, subscribeToEnd: () => undefined, release: () => undefined,
		} as unknown as BackendConnection;
		for (let count = 0; count < 2; count++) {
			startAttempt(connection, {
				method: 'POST', path: '/', headers: [], body, requestId: 'a',
			}, {handleHead: () => undefined, handleData: () => true, handleEnd: () => undefined}, () => {
				throw new Error('no answer was sent');
			});
		}

		expect(bodies.map(each => each === body)).to.deep.equal([true, true]);
	});
});
