import {expect} from 'chai';
import {refusalReasons, type ClaimRecord} from '@knapweedrack/core';
import type {ObjectStore} from '@knapweedrack/platform-client';
import {CallerFixture, type FixtureOptions} from './caller-fixture.test.js';
import {buildClaimKey} from './claim-session.js';
import {parseServicePath} from './service-handler.js';

type ServiceState = {calls: number; executions: Record<string, number>};

describe('service calls', () => {
	let fixture: CallerFixture;
	const open = async (options: FixtureOptions = {}) => {
		fixture = await new CallerFixture().open({engines: [], hasService: true, ...options});
		return fixture;
	};

	const release = async (key: string, order = 7) =>
		fixture.send('/v1/services/work-orders/release', {method: 'POST', body: {order}, headers: {'idempotency-key': key}});
	const countExecutions = async (key: string) => {
		const {executions} = await fixture.fetchState<ServiceState>(fixture.service!);
		return executions[key] ?? 0;
	};

	afterEach(async () => {
		await fixture.waitUntil(() => fixture.openPermits.size === 0, 'permits released');
		await fixture.close();
	});

	it('passes method, path, query and body on without the credential', async () => {
		await open();
		const answer = await fixture.send('/v1/services/work-orders/orders/7?full=1');
		expect(answer.status).to.equal(200);
		expect(answer.json()).to.include({method: 'GET', idempotencyKey: null});
		expect(fixture.storeCalls).to.deep.equal([]);
	});

	it('executes a non-idempotent call once and answers a repetition from the claim', async () => {
		await open();
		const first = await release('once');
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		expect(fixture.storeCalls).to.deep.equal(['put', 'put', 'put']);
		const second = await release('once');
		expect(first.status).to.equal(200);
		expect(second.text).to.equal(first.text);
		expect(await countExecutions('once')).to.equal(1);
	});

	it('refuses a key used for another request, and a missing key', async () => {
		await open();
		await release('reused');
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		const other = await release('reused', 8);
		expect(other.status).to.equal(422);
		expect(other.json()).to.include({outcome: 'not_run', reason: refusalReasons.idempotencyKeyReused});
		const missing = await fixture.send('/v1/services/work-orders/release', {method: 'POST', body: {}});
		expect(missing.json()).to.include({reason: refusalReasons.idempotencyKeyMissing});
	});

	// Guards against a double execution: while the first of two equal calls runs, the second must neither run nor be answered with `not_run`.
	it('answers unknown while an equal call is in progress', async () => {
		await open();
		await fixture.addFault(fixture.service!, {kind: 'slow', delayMs: 300, count: 1});
		const first = release('racing');
		await fixture.waitUntil(async () => await countExecutions('racing') === 1, 'first call running');
		const second = await release('racing');
		expect(second.status).to.equal(409);
		expect(second.json()).to.include({outcome: 'unknown', reason: refusalReasons.claimInProgress});
		const {status} = await first;
		expect(status).to.equal(200);
		expect(await countExecutions('racing')).to.equal(1);
	});

	it('never repeats a call whose answer is lost', async () => {
		await open();
		await fixture.addFault(fixture.service!, {kind: 'answerLost', count: 1});
		const first = await release('lost');
		expect(first.json()).to.include({outcome: 'unknown', reason: refusalReasons.backendFailed});
		expect(first.headers['x-should-retry']).to.equal('false');
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		const second = await release('lost');
		expect(second.json()).to.include({outcome: 'unknown', reason: refusalReasons.claimOutcomeUnknown});
		expect(await countExecutions('lost')).to.equal(1);
	});

	it('does not pass on the answer to another request', async () => {
		await open();
		await release('before');
		await fixture.addFault(fixture.service!, {kind: 'answerCrossed', count: 1});
		const crossed = await release('crossed');
		expect(crossed.json()).to.include({outcome: 'unknown', reason: refusalReasons.streamCorrupt});
	});

	it('runs a call again after the service stated that it was not started', async () => {
		await open();
		await fixture.addFault(fixture.service!, {kind: 'notStarted', count: 1});
		const first = await release('again');
		expect(first.json()).to.include({outcome: 'not_run', reason: refusalReasons.backendRefused});
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		const second = await release('again');
		expect(second.status).to.equal(200);
		expect(await countExecutions('again')).to.equal(1);
	});

	// Guards against a lost outcome: the caller disconnects while the call runs, and a repetition must receive the stored answer.
	it('keeps the outcome of a call whose caller disconnected', async () => {
		await open();
		await fixture.addFault(fixture.service!, {kind: 'slow', delayMs: 200, count: 1});
		const controller = new AbortController();
		const cancelWhenRunning = async () => {
			await fixture.waitUntil(async () => await countExecutions('left') === 1, 'call running');
			controller.abort();
		};

		const sendCall = async () => fetch(`${fixture.url}/v1/services/work-orders/release`, {
			method: 'POST', body: JSON.stringify({order: 7}), signal: controller.signal,
			headers: {authorization: 'Bearer test-credential-1', 'content-type': 'application/json', 'idempotency-key': 'left'},
		});
		const [first] = await Promise.allSettled([sendCall(), cancelWhenRunning()]);
		expect(first.status).to.equal('rejected');
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		const second = await release('left');
		expect(second.status).to.equal(200);
		expect(await countExecutions('left')).to.equal(1);
	});

	describe('with a claim left by another entry', () => {
		const releaseAfterClaim = async (changes: Partial<ClaimRecord>) => {
			await open();
			const key = buildClaimKey('depot', 'left-behind');
			await release('left-behind');
			await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
			const stored = await fixture.store.get(key);
			const record = (stored.ok ? stored.value.value : undefined) as ClaimRecord;
			await fixture.store.put(key, {
				...record, outcome: undefined, nonce: 'other', entryId: 'gone-1', ...changes,
			});
			return release('left-behind');
		};

		it('runs the call when nothing was sent', async () => {
			const {status} = await releaseAfterClaim({state: 'claimed'});
			expect(status).to.equal(200);
			expect(await countExecutions('left-behind')).to.equal(2);
		});

		it('answers unknown when the call may have been sent', async () => {
			const answer = await releaseAfterClaim({state: 'dispatched'});
			expect(answer.json()).to.include({outcome: 'unknown', reason: refusalReasons.claimOutcomeUnknown});
			expect(await countExecutions('left-behind')).to.equal(1);
		});

		it('waits for an entry that is still listed', async () => {
			const answer = await releaseAfterClaim({state: 'claimed', entryId: 'saskatoon-1'});
			expect(answer.json()).to.include({outcome: 'unknown', reason: refusalReasons.claimInProgress});
			expect(await countExecutions('left-behind')).to.equal(1);
		});

		it('refuses a stored record that cannot be read', async () => {
			const answer = await releaseAfterClaim({state: 'other' as never});
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.claimStoreUnavailable});
		});
	});

	it('stores a late answer after the deadline', async () => {
		await open();
		await fixture.addFault(fixture.service!, {kind: 'slow', delayMs: 400, count: 1});
		const first = await fixture.send('/v1/services/work-orders/release', {
			method: 'POST', body: {order: 7}, headers: {'idempotency-key': 'late', 'x-request-deadline-ms': '100'},
		});
		expect(first.json()).to.include({outcome: 'unknown', reason: refusalReasons.deadlineExceeded});
		await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
		const second = await release('late');
		expect(second.status).to.equal(200);
		expect(await countExecutions('late')).to.equal(1);
	});

	describe('with a failing object API', () => {
		it('refuses at once while it is unavailable', async () => {
			await open();
			await fixture.addFault(fixture.platform, {kind: 'down'});
			const answer = await release('away');
			expect(answer.status).to.equal(503);
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.claimStoreUnavailable});
			const state = await fixture.fetchState<ServiceState>(fixture.service!);
			expect(state.calls).to.equal(0);
			// Calls that need no claim are still served.
			const other = await fixture.send('/v1/services/work-orders/orders/7');
			expect(other.status).to.equal(200);
		});

		it('reads a claim back by its nonce after a lost answer', async () => {
			await open();
			await fixture.addFault(fixture.platform, {kind: 'answerLost', keyPrefix: 'claims/', count: 1});
			const answer = await release('claim-answer-lost');
			expect(answer.status).to.equal(200);
			expect(await countExecutions('claim-answer-lost')).to.equal(1);
		});

		const createFailingStore = (step: number, apply: boolean) => (store: ObjectStore): ObjectStore => {
			let puts = 0;
			return {
				...store,
				async put(...parameters) {
					puts++;
					if (puts !== step) {
						return store.put(...parameters);
					}

					if (apply) {
						await store.put(...parameters);
					}

					return {ok: false, error: apply ? {kind: 'unknown', message: 'lost'} : {kind: 'unavailable', message: 'down'}};
				},
			};
		};

		for (const step of [1, 2, 3]) {
			it(`executes once when the answer to write ${step} is lost`, async () => {
				await checkExecutedOnce(createFailingStore(step, true));
			});
		}

		const checkExecutedOnce = async (wrapStore: (store: ObjectStore) => ObjectStore) => {
			await open({wrapStore});
			const answer = await release('step');
			expect(answer.status).to.equal(200);
			await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'outcome stored');
			const repeated = await release('step');
			expect(repeated.text).to.equal(answer.text);
			expect(await countExecutions('step')).to.equal(1);
		};

		it('sends nothing when the dispatch cannot be recorded', async () => {
			await open({wrapStore: createFailingStore(2, false)});
			const answer = await release('unmarked');
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.claimStoreUnavailable});
			expect(await countExecutions('unmarked')).to.equal(0);
			await fixture.waitUntil(() => fixture.server.countOpenRequests() === 0, 'claim ended');
			const second = await release('unmarked');
			expect(second.status).to.equal(200);
		});

		it('sends nothing when another entry has taken over the claim', async () => {
			await open({
				wrapStore: store => ({
					...store,
					async put(key, value, condition, options) {
						const record = value as ClaimRecord;
						if (record.state === 'dispatched') {
							await store.put(key, {
								...record, state: 'claimed', nonce: 'other', entryId: 'saskatoon-1',
							});
						}

						return store.put(key, value, condition, options);
					},
				}),
			});
			const answer = await release('taken');
			expect(answer.json()).to.include({outcome: 'not_run', reason: refusalReasons.claimInProgress});
			expect(await countExecutions('taken')).to.equal(0);
		});
	});

	it('keeps the claim key within the object API and free of the caller\'s characters', () => {
		expect(buildClaimKey('depot', '../ x')).to.match(/^claims\/depot\/[\da-f]{64}$/v);
	});

	it('refuses paths that leave the root of the service', () => {
		for (const url of ['/v1/services/work-orders/../x', '/v1/services/work-orders/a/%2e%2E/x', '/v1/services/work-orders/%2f..', '/v1/services/work-orders']) {
			expect(parseServicePath(url), url).to.equal(undefined);
		}

		expect(parseServicePath('/v1/services/work-orders/a..b/c?d=..')).to.deep.equal({service: 'work-orders', path: '/a..b/c?d=..'});
	});
});
