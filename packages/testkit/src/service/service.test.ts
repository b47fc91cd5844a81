import {expect} from 'chai';
import type {StandIn} from '../http/stand-in.js';
import {startService} from './service.js';

describe('startService', () => {
	let service: StandIn;

	const send = async (id: string, key?: string): Promise<Response> => fetch(`http://${service.address}/bookings`, {
		method: 'POST',
		headers: {'x-request-id': id, 'x-attempt-id': `${id}-1`, ...(key === undefined ? {} : {'idempotency-key': key})},
		body: `body of ${id}`,
	});

	const addFault = async (fault: Record<string, unknown>): Promise<void> => {
		const response = await fetch(`http://${service.address}/testkit/faults`, {method: 'POST', body: JSON.stringify({count: 1, ...fault})});
		expect(response.status).to.equal(200);
	};

	const getExecutions = async (): Promise<Record<string, number>> => {
		const response = await fetch(`http://${service.address}/testkit/state`);
		const {executions} = await response.json() as {executions: Record<string, number>};
		return executions;
	};

	beforeEach(async () => {
		service = await startService({workMs: 0});
	});

	afterEach(async () => {
		await service.close();
	});

	// Deduplication by the service would hide a second execution that an entry causes.
	it('counts every execution by idempotency key', async () => {
		await send('r1', 'k1');
		await send('r2', 'k1');
		const response = await send('r3');
		expect(response.headers.get('x-request-id')).to.equal('r3');
		expect(await getExecutions()).to.deep.equal({k1: 2, r3: 1});
	});

	it('executes a call whose answer is lost', async () => {
		await addFault({kind: 'answerLost'});
		let isLost = false;
		try {
			await send('r1', 'k1');
		} catch {
			isLost = true;
		}

		expect(isLost).to.be.true;
		expect(await getExecutions()).to.deep.equal({k1: 1});
	});

	it('does not execute a call that it reports as not started', async () => {
		await addFault({kind: 'notStarted'});
		const response = await send('r1', 'k1');
		expect(response.status).to.equal(503);
		expect(response.headers.get('x-started')).to.equal('false');
		expect(await getExecutions()).to.deep.equal({});
	});

	// Tests use this fault to check that no caller gets the answer to another request.
	it('answers with the ids and the body of another request', async () => {
		await send('r1');
		await addFault({kind: 'answerCrossed'});
		const response = await send('r2');
		expect(response.headers.get('x-request-id')).to.equal('r1');
		expect(await response.json()).to.include({answerTo: 'r1'});
		expect(await getExecutions()).to.deep.equal({r1: 1, r2: 1});
	});
});
