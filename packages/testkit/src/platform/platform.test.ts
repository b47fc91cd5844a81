import {setTimeout as wait} from 'node:timers/promises';
import {instanceListSchema, objectListSchema, watchAnswerSchema} from '@knapweedrack/protocol';
import {expect} from 'chai';
import type {StandIn} from '../http/stand-in.js';
import {startPlatform, type PlatformOptions} from './platform.js';

type Answer = {status: number; body: Record<string, unknown>};

describe('startPlatform', () => {
	let platform: StandIn;

	const start = async (options: Partial<PlatformOptions> = {}): Promise<void> => {
		platform = await startPlatform({delayMs: 0, ...options});
	};

	const send = async (method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Answer> => {
		const response = await fetch(`http://${platform.address}${path}`, {
			method, headers, ...(body === undefined ? {} : {body: JSON.stringify(body)}),
		});
		return {status: response.status, body: await response.json() as Record<string, unknown>};
	};

	const addFault = async (fault: Record<string, unknown>): Promise<void> => {
		expect(await send('POST', '/testkit/faults', fault)).to.have.property('status', 200);
	};

	const isAnswered = async (answer: Promise<Answer>): Promise<boolean> => {
		try {
			await answer;
			return true;
		} catch {
			return false;
		}
	};

	const waitForWatches = async (count: number): Promise<void> => {
		let state = await send('GET', '/testkit/state');
		while (state.body.watches !== count) {
			state = await send('GET', '/testkit/state');
		}
	};

	afterEach(async () => {
		await platform.close();
	});

	describe('objects', () => {
		// Of two operators that edit the same version, only one may succeed.
		it('applies a conditional write only on the present version', async () => {
			await start();
			const created = await send('PUT', '/v1/objects/a/b', {n: 1}, {'if-none-match': '*'});
			expect(created).to.deep.equal({status: 200, body: {key: 'a/b', version: 1}});
			expect(await send('PUT', '/v1/objects/a/b', {n: 2}, {'if-none-match': '*'})).to.deep.include({status: 412});
			expect(await send('PUT', '/v1/objects/a/b', {n: 2}, {'if-match': '1'})).to.deep.include({status: 200});
			const stale = await send('PUT', '/v1/objects/a/b', {n: 3}, {'if-match': '1'});
			expect(stale.body).to.include({error: 'version_mismatch', version: 2});
			expect(await send('GET', '/v1/objects/a/b')).to.deep.equal({status: 200, body: {key: 'a/b', version: 2, value: {n: 2}}});
		});

		it('lists by prefix in order and deletes', async () => {
			await start();
			for (const key of ['p/2', 'p/1', 'q/1']) {
				await send('PUT', `/v1/objects/${key}`, key);
			}

			const {body} = await send('GET', '/v1/objects?prefix=p/');
			expect(objectListSchema.parse(body).items.map(({key}) => key)).to.deep.equal(['p/1', 'p/2']);
			expect(await send('DELETE', '/v1/objects/p/1', undefined, {'if-match': '9'})).to.include({status: 412});
			expect(await send('DELETE', '/v1/objects/p/1')).to.include({status: 200});
			expect(await send('DELETE', '/v1/objects/p/1')).to.include({status: 404});
		});

		it('refuses values over the limit, invalid keys and unknown routes', async () => {
			await start();
			expect(await send('PUT', '/v1/objects/big', 'x'.repeat(1_000_000))).to.include({status: 413});
			expect(await send('PUT', '/v1/objects/bad%20key', 1)).to.include({status: 400});
			expect(await send('GET', '/v1/other')).to.include({status: 400});
		});

		// The real store limits the rate of calls; a stand-in without limits would hide that an entry sends too many.
		it('limits the rate of writes', async () => {
			await start({writesPerSecond: 1});
			expect(await send('PUT', '/v1/objects/a', 1)).to.include({status: 200});
			const refused = await send('PUT', '/v1/objects/a', 2);
			expect(refused.status).to.equal(429);
			expect(refused.body.retryAfterMs).to.be.within(1, 1000);
		});
	});

	describe('watch', () => {
		it('waits for a change of the prefix', async () => {
			await start();
			const waiting = send('GET', '/v1/watch?prefix=p/&after=0&timeoutMs=10000');
			await send('PUT', '/v1/objects/q/1', 1);
			await send('PUT', '/v1/objects/p/1', 2);
			const {body} = await waiting;
			const answer = watchAnswerSchema.parse(body);
			expect(answer.events.map(({key}) => key)).to.deep.equal(['p/1']);
			expect(answer.revision).to.equal(2);
		});

		it('answers without events after the timeout', async () => {
			await start();
			const {body} = await send('GET', '/v1/watch?prefix=p/&after=0&timeoutMs=10');
			expect(body).to.deep.equal({revision: 0, events: []});
		});

		// A watch that skipped changes without an error would leave an entry with an old configuration.
		it('answers 410 for a revision whose following changes were compacted', async () => {
			await start({historyLimit: 2});
			for (const value of [1, 2, 3, 4]) {
				await send('PUT', '/v1/objects/a', value);
			}

			expect(await send('GET', '/v1/watch?prefix=&after=0&timeoutMs=0')).to.include({status: 410});
			const {body} = await send('GET', '/v1/watch?prefix=&after=3&timeoutMs=0');
			expect(watchAnswerSchema.parse(body).events.map(({version}) => version)).to.deep.equal([4]);
		});
	});

	describe('instances', () => {
		it('lists a change only after the lag', async () => {
			await start({listLagMs: 60_000});
			const instance = {
				id: 'engine-1', address: '127.0.0.1:1', kind: 'engine', failureDomain: 'kochi', serves: 'fibre-scribe', state: 'live',
			};
			expect(await send('PUT', '/testkit/instances/engine-1', instance)).to.include({status: 200});
			const {body} = await send('GET', '/v1/instances');
			expect(instanceListSchema.parse(body).instances).to.deep.equal([]);
			await addFault({kind: 'listLag', lagMs: 0});
			const shown = await send('GET', '/v1/instances');
			expect(instanceListSchema.parse(shown.body).instances).to.deep.equal([instance]);
		});
	});

	describe('faults', () => {
		// Tests use this fault to check that the client reads a key again when the answer to its write is lost.
		it('applies the next write of a prefix and loses its answer', async () => {
			await start();
			await addFault({kind: 'answerLost', keyPrefix: 'availability', count: 1});
			expect(await send('PUT', '/v1/objects/other', 1)).to.include({status: 200});
			expect(await isAnswered(send('PUT', '/v1/objects/availability', 2))).to.be.false;
			expect(await send('GET', '/v1/objects/availability')).to.deep.include({status: 200});
			expect(await send('PUT', '/v1/objects/availability', 3)).to.include({status: 200});
		});

		it('is down for one caller only', async () => {
			await start();
			await addFault({kind: 'down', caller: 'entry-1'});
			expect(await send('GET', '/v1/instances', undefined, {'x-instance-id': 'entry-1'})).to.include({status: 503});
			expect(await send('GET', '/v1/instances', undefined, {'x-instance-id': 'entry-2'})).to.include({status: 200});
			const {body} = await send('GET', '/testkit/state');
			expect(body.callsByCaller).to.have.nested.property('entry-1.instances', 1);
		});

		it('refuses, cuts or never answers while it is down', async () => {
			await start();
			await addFault({kind: 'down', count: 1});
			expect(await send('GET', '/v1/instances')).to.deep.include({status: 503});
			await addFault({kind: 'down', mode: 'cut', count: 1});
			expect(await isAnswered(send('GET', '/v1/instances'))).to.be.false;
			await addFault({kind: 'down', mode: 'hang', count: 1});
			const hanging = send('GET', '/v1/instances');
			expect(await Promise.race([hanging, wait(100, 'hanging')])).to.equal('hanging');
			expect(await send('GET', '/v1/instances')).to.include({status: 200});
			await platform.close();
			expect(await isAnswered(hanging)).to.be.false;
		});

		it('is slow until the fault is cleared', async () => {
			await start();
			await addFault({kind: 'slow', delayMs: 150});
			const startedAt = performance.now();
			await send('GET', '/v1/instances');
			expect(performance.now() - startedAt).to.be.above(145);
			expect(await send('DELETE', '/testkit/faults')).to.deep.equal({status: 200, body: {faults: []}});
		});

		it('cuts the waiting watches of one caller', async () => {
			await start();
			const path = '/v1/watch?prefix=&after=0&timeoutMs=30000';
			const first = send('GET', path, undefined, {'x-instance-id': 'entry-1'});
			const second = send('GET', path, undefined, {'x-instance-id': 'entry-2'});
			await waitForWatches(2);
			await addFault({kind: 'watchCut', caller: 'entry-1'});
			expect(await isAnswered(first)).to.be.false;
			await send('PUT', '/v1/objects/a', 1);
			expect(await second).to.have.property('status', 200);
		});

		// An entry can detect a watch that stays open but reports no changes only by the revisions in the heartbeats of its peers.
		it('hides all changes from silent watches', async () => {
			await start();
			const waiting = send('GET', '/v1/watch?prefix=&after=0&timeoutMs=200');
			await waitForWatches(1);
			await addFault({kind: 'watchCut', mode: 'silent'});
			await send('PUT', '/v1/objects/a', 1);
			expect(await waiting).to.deep.equal({status: 200, body: {revision: 0, events: []}});
			expect(await send('GET', '/v1/watch?prefix=&after=0&timeoutMs=10')).to.deep.equal({status: 200, body: {revision: 0, events: []}});
		});

		it('compacts its history', async () => {
			await start();
			await send('PUT', '/v1/objects/a', 1);
			await addFault({kind: 'compact', count: 1});
			expect(await send('GET', '/v1/watch?prefix=&after=0&timeoutMs=10')).to.include({status: 410});
			expect(await send('GET', '/v1/watch?prefix=&after=1&timeoutMs=10')).to.include({status: 200});
		});
	});

	describe('weight store', () => {
		it('refuses transfers beyond its concurrency limit', async () => {
			await start({weightTransfers: 1, weightTransferMs: 1000});
			const transfer = {name: 'fibre-scribe', version: '1', serverId: 'engine-1'};
			expect(await send('POST', '/v1/weights/transfers', transfer)).to.have.nested.property('body.durationMs', 1000);
			const refused = await send('POST', '/v1/weights/transfers', transfer);
			expect(refused.status).to.equal(429);
			expect(refused.body.retryAfterMs).to.be.within(1, 1000);
		});
	});
});
