import {expect} from 'chai';
import fc from 'fast-check';
import {
	attemptResults, priorities, type AttemptResult, type BackendServerProfile, type EngineReport, type Permit, type PermitRequest,
} from '../types/index.js';
import type {AdmissionCommand, AdmissionEvent, AdmissionMode} from './admission-events.js';
import type {AdmissionOptions} from './admission-options.js';
import {AdmissionPoint} from './admission-point.js';

const warmProfile: BackendServerProfile = {
	id: 'engine-1', kvTokens: 100_000, prefillTokensPerSecond: 20_000, maxConcurrency: 8, coldConcurrency: 8, coldPrefillTokens: 100_000,
};
const coldProfile: BackendServerProfile = {...warmProfile, coldConcurrency: 2, coldPrefillTokens: 4000};

const createRequest = (id: string, fields: Partial<PermitRequest> = {}): PermitRequest => ({
	requestId: `r-${id}`, attemptId: id, entryId: 'entry-1', serverId: 'engine-1', workspaceId: 'w1', weight: 1,
	priority: priorities.normal, prefillTokens: 1000, decodeTokens: 100, kvTokens: 1100, deadlineInMs: 60_000,
	firstTokenInMs: 1000, isSuspect: false, ...fields,
});

const createReport = (fields: Partial<EngineReport> = {}): EngineReport => ({
	serverId: 'engine-1', bootId: 'boot-1', state: 'live', profile: warmProfile, kvTokensUsed: 0, running: [], reservations: [], ...fields,
});

const listGrants = (commands: AdmissionCommand[]): Permit[] =>
	commands.flatMap(command => command.type === 'grant' ? [command.permit] : []);

const listRefusals = (commands: AdmissionCommand[]) => commands.filter(command => command.type === 'refuse');

const createPoint = (options: AdmissionOptions = {}, profile = warmProfile): AdmissionPoint => {
	const point = new AdmissionPoint(profile, options);
	point.handle({type: 'report', report: createReport({profile})}, 0);
	return point;
};

const request = (point: AdmissionPoint, now: number, id: string, fields: Partial<PermitRequest> = {}): AdmissionCommand[] =>
	point.handle({type: 'request', request: createRequest(id, fields)}, now);

const listed = (id: string, kvTokens = 1100) => ({
	requestId: `r-${id}`, attemptId: id, phase: 'decode' as const, kvTokens,
});

describe('AdmissionPoint', () => {
	describe('reports', () => {
		// Guards against load on a server whose state is unknown.
		it('grants nothing before the first report', () => {
			const point = new AdmissionPoint(warmProfile);
			expect(request(point, 0, 'a')).to.be.empty;
			expect(listGrants(point.handle({type: 'report', report: createReport()}, 10))).to.have.length(1);
		});

		// Guards against overload after a crash: the cached prefix that an entry recorded was lost with the former boot.
		it('counts the whole prompt while the server is not warm', () => {
			const point = createPoint({}, coldProfile);
			const fields = {prefillTokens: 3000, promptTokens: 5000, kvTokens: 5100};
			expect(listRefusals(request(point, 1, 'a', fields))).to.have.length(1);
			expect(listGrants(request(createPoint(), 1, 'a', fields))).to.have.length(1);
		});

		// Guards against head-of-line blocking: short prompts must not wait behind a long one that waits for KV memory.
		it('grants short prompts while a long one waits for memory that another long one holds', () => {
			const point = createPoint({agingMs: 100});
			const long = {prefillTokens: 74_000, kvTokens: 75_000, deadlineInMs: 300_000};
			request(point, 1, 'long-1', long);
			request(point, 2, 'long-2', long);
			point.handle({type: 'tick'}, 500);
			expect(listGrants(request(point, 501, 'short'))).to.have.length(1);
			expect(listGrants(request(point, 502, 'other', {kvTokens: 24_500}))).to.be.empty;
		});

		// Guards against a refusal so near the deadline that no other server can finish the request.
		it('refuses a longer prompt that waited for a quarter of the time to its deadline', () => {
			const point = createPoint();
			const long = {prefillTokens: 40_000, kvTokens: 41_000, deadlineInMs: 40_000};
			request(point, 1, 'long-1', long);
			expect(request(point, 2, 'long-2', long)).to.be.empty;
			point.handle({type: 'report', report: createReport({running: [listed('long-1', 41_000)]})}, 9000);
			expect(listRefusals(point.handle({type: 'tick'}, 9900))).to.be.empty;
			const [refusal] = listRefusals(point.handle({type: 'tick'}, 10_200));
			expect(refusal).to.include({attemptId: 'long-2', reason: 'deadline_unreachable'});
		});

		// Guards against a group whose later members keep their servers idle until their prefill begins.
		it('does not count the prefill of a later member of a group against other prompts of its lane', () => {
			const point = createPoint();
			const long = {prefillTokens: 40_000, kvTokens: 41_000, deadlineInMs: 300_000};
			expect(listGrants(request(point, 1, 'member', {...long, isDeferred: true}))).to.have.length(1);
			expect(listGrants(request(point, 2, 'single', long))).to.have.length(1);
		});

		// Guards against permits that outlive the engine process they were issued for.
		it('drops all permits of a former boot id and returns to the cold bounds', () => {
			const point = createPoint({}, coldProfile);
			const [permit] = listGrants(request(point, 1, 'a'));
			expect(permit?.bootId).to.equal('boot-1');
			point.handle({type: 'report', report: createReport({bootId: 'boot-2', profile: coldProfile})}, 10);
			expect(point.hasPermit(permit!.permitId)).to.be.false;
			expect(point.load).to.include({running: 0, kvTokensUsed: 0, concurrencyLimit: 2});
		});

		// Guards against new work on a server that is leaving the service.
		it('refuses queued and new requests when the server is leaving', () => {
			const point = createPoint();
			point.handle({type: 'mode', mode: 'rebuilding'}, 1);
			const commands = point.handle({type: 'report', report: createReport({state: 'leaving'})}, 2);
			expect(listGrants(commands)).to.be.empty;
			expect(request(point, 3, 'a')[0]).to.include({type: 'refuse', reason: 'no_backend_server'});
		});

		// Guards against a crash loop: a crashed server must not get requests until it reports again.
		it('waits for a report after a crash', () => {
			const point = createPoint();
			const [permit] = listGrants(request(point, 1, 'a'));
			point.handle({type: 'release', permitId: permit!.permitId, result: attemptResults.crashed}, 2);
			expect(request(point, 3, 'b')).to.be.empty;
			expect(listGrants(point.handle({type: 'report', report: createReport({bootId: 'boot-2'})}, 4))).to.have.length(1);
		});
	});

	describe('without reports', () => {
		// Guards against requests that stay queued until their deadline when the engine has stopped.
		it('refuses queued and new requests after the report timeout and grants again after a report', () => {
			const point = new AdmissionPoint(warmProfile, {reportTimeoutMs: 5000});
			expect(request(point, 0, 'a')).to.be.empty;
			expect(point.handle({type: 'tick'}, 5000)[0]).to.include({type: 'refuse', attemptId: 'a', reason: 'no_backend_server'});
			expect(request(point, 5001, 'b')[0]).to.include({type: 'refuse', reason: 'no_backend_server'});
			point.handle({type: 'report', report: createReport()}, 6000);
			expect(listGrants(request(point, 6001, 'c'))).to.have.length(1);
		});
	});

	describe('permits', () => {
		// Guards against capacity held for a failed attempt because a renewal arrives after the release.
		it('ignores the renewal of a released permit', () => {
			const point = createPoint();
			const [permit] = listGrants(request(point, 0, 'a'));
			point.handle({type: 'release', permitId: permit!.permitId, result: attemptResults.failed}, 1);
			point.handle({type: 'renew', permitIds: [permit!.permitId]}, 2);
			point.handle({type: 'report', report: createReport()}, 2500);
			expect(point.load.running).to.equal(0);
		});

		// Guards against KV memory granted twice: the request of an expired permit may still run on the engine.
		it('returns the capacity of an expired permit only after a report without the request, and cancels it before', () => {
			const point = createPoint();
			request(point, 0, 'a', {kvTokens: 90_000, prefillTokens: 1000});
			expect(request(point, 1, 'b', {kvTokens: 90_000, prefillTokens: 1000})).to.be.empty;
			for (const now of [4000, 8000]) {
				expect(point.handle({type: 'report', report: createReport({running: [listed('a', 90_000)]})}, now)).to.be.empty;
			}

			point.handle({type: 'tick'}, 10_000);
			const still = point.handle({type: 'report', report: createReport({running: [listed('a', 90_000)]})}, 12_500);
			expect(still).to.deep.equal([{type: 'cancel', requestId: 'r-a', attemptId: 'a'}]);
			const gone = point.handle({type: 'report', report: createReport()}, 13_000);
			expect(listGrants(gone).map(permit => permit.attemptId)).to.deep.equal(['b']);
		});

		// Guards against cancelling a running stream whose holder renews the permit.
		it('keeps renewed permits', () => {
			const point = createPoint();
			const [permit] = listGrants(request(point, 0, 'a'));
			for (let now = 5000; now <= 40_000; now += 5000) {
				point.handle({type: 'renew', permitIds: [permit!.permitId]}, now);
				expect(point.handle({type: 'report', report: createReport({running: [listed('a')]})}, now)).to.be.empty;
			}
		});

		// Guards against streams cancelled because the server got a new owner.
		it('adopts the permits of a former owner from their renewals and counts their work', () => {
			const former = createPoint({fencingNumber: 1});
			const [permit] = listGrants(request(former, 0, 'a'));
			const point = new AdmissionPoint(warmProfile, {fencingNumber: 2});
			point.handle({type: 'mode', mode: 'rebuilding'}, 0);
			const report = createReport({running: [listed('a', 50_000), listed('x', 20_000)]});
			expect(point.handle({type: 'report', report}, 1)).to.be.empty;
			expect(point.load).to.include({running: 2, kvTokensUsed: 70_000});
			point.handle({type: 'renew', permitIds: [permit!.permitId]}, 3000);
			point.handle({type: 'renew', permitIds: [permit!.permitId]}, 9000);
			// In this mode another entry may still act as owner and hold permits, so nothing is cancelled.
			expect(point.handle({type: 'report', report}, 11_000)).to.be.empty;
			point.handle({type: 'mode', mode: 'full'}, 11_500);
			const commands = point.handle({type: 'report', report}, 12_000);
			expect(commands).to.deep.equal([{type: 'cancel', requestId: 'r-x', attemptId: 'x'}]);
		});

		// Guards against capacity held because a renewal arrives after the release or after a restart of the engine.
		it('does not adopt its own finished permits or permits of a former boot', () => {
			const point = createPoint({fencingNumber: 2});
			const [permit] = listGrants(request(point, 0, 'a'));
			point.handle({type: 'release', permitId: permit!.permitId, result: attemptResults.completed}, 1);
			point.handle({type: 'renew', permitIds: [permit!.permitId]}, 2);
			point.handle({type: 'report', report: createReport({bootId: 'boot-2'})}, 3);
			point.handle({type: 'renew', permitIds: ['1.7.b']}, 4);
			expect(point.load.running).to.equal(0);
		});

		// Guards against a second permit when the reply to the first request message is lost.
		it('answers a repeated request with the same permit', () => {
			const point = createPoint();
			const first = listGrants(request(point, 0, 'a'));
			expect(listGrants(request(point, 5, 'a'))).to.deep.equal(first);
			expect(point.load.running).to.equal(1);
		});
	});

	describe('modes', () => {
		// Guards against two owners that together exceed a bound of 1.
		it('allows nothing at half of a concurrency of 1', () => {
			const point = createPoint({}, {...warmProfile, maxConcurrency: 1, coldConcurrency: 1});
			point.handle({type: 'mode', mode: 'half'}, 1);
			expect(request(point, 2, 'a')[0]).to.include({type: 'refuse', reason: 'ownership_disputed'});
		});

		// Guards against an owner that keeps requests queued after it may no longer grant permits.
		it('refuses everything when stopped', () => {
			const point = createPoint({}, {...warmProfile, maxConcurrency: 1, coldConcurrency: 1});
			request(point, 0, 'a');
			request(point, 1, 'b');
			const commands = point.handle({type: 'mode', mode: 'stopped'}, 2);
			expect(commands[0]).to.include({type: 'refuse', attemptId: 'b', reason: 'ownership_disputed'});
			expect(request(point, 3, 'c')[0]).to.include({type: 'refuse', reason: 'ownership_disputed'});
		});
	});

	describe('suspects', () => {
		// Guards against a crash that also ends other requests: a suspect may crash the engine again.
		it('runs a suspect alone, and grants nothing else before it after the aging time', () => {
			const point = createPoint({agingMs: 1000});
			const [first] = listGrants(request(point, 0, 'a'));
			expect(request(point, 1, 's', {isSuspect: true})).to.be.empty;
			expect(listGrants(request(point, 2, 'b'))).to.have.length(1);
			expect(request(point, 1500, 'c')).to.be.empty;
			point.handle({type: 'release', permitId: first!.permitId, result: attemptResults.completed}, 1600);
			const commands = point.handle({type: 'release', permitId: '0.2.b', result: attemptResults.completed}, 1700);
			expect(listGrants(commands).map(permit => permit.attemptId)).to.deep.equal(['s']);
			expect(request(point, 1800, 'd')).to.be.empty;
			const after = point.handle({type: 'release', permitId: '0.3.s', result: attemptResults.completed}, 1900);
			expect(listGrants(after).map(permit => permit.attemptId)).to.have.members(['c', 'd']);
		});
	});

	describe('refusals', () => {
		// Guards against a request that is queued although it cannot finish before its deadline.
		it('refuses at once when the estimated first token is past the deadline, with a retry time that fits the queue', () => {
			const point = createPoint({}, {...warmProfile, prefillTokensPerSecond: 1000});
			for (let index = 0; index < 10; index++) {
				request(point, 0, `a${index}`, {prefillTokens: 2000, kvTokens: 2100});
			}

			const [refusal] = listRefusals(request(point, 1, 'late', {deadlineInMs: 10_000}));
			expect(refusal).to.include({reason: 'deadline_unreachable'});
			expect(refusal!.retryAfterMs).to.be.within(5000, 30_000);
		});

		// Guards against unbounded memory use by waiting requests.
		it('refuses with queue_full above the bound', () => {
			const point = createPoint({maxQueued: 2}, {...warmProfile, maxConcurrency: 1, coldConcurrency: 1});
			const commands = ['a', 'b', 'c', 'd'].flatMap(id => request(point, 0, id));
			expect(listRefusals(commands).map(({attemptId, reason}) => ({attemptId, reason}))).to.deep.equal([{attemptId: 'd', reason: 'queue_full'}]);
		});

		// Guards against a request that stays queued until its deadline although it can no longer finish.
		it('refuses a queued request once it can no longer finish', () => {
			const point = createPoint({}, {...warmProfile, maxConcurrency: 1, coldConcurrency: 1});
			request(point, 0, 'a');
			expect(request(point, 1, 'b', {deadlineInMs: 5000})).to.be.empty;
			expect(listRefusals(point.handle({type: 'tick'}, 3500))[0]).to.include({attemptId: 'b', reason: 'deadline_unreachable'});
		});
	});

	describe('order', () => {
		// Guards against requests of low priority that wait forever, and against due times that are missed needlessly.
		it('serves earlier due times first inside a workspace and bounds the delay of low priority', () => {
			const point = createPoint({agingMs: 1000}, {...warmProfile, maxConcurrency: 1, coldConcurrency: 1});
			request(point, 0, 'first');
			request(point, 1, 'low', {priority: priorities.low});
			request(point, 2, 'late', {firstTokenInMs: 5000});
			request(point, 3, 'soon', {firstTokenInMs: 500});
			const order: string[] = [];
			let permitId = '0.1.first';
			for (let now = 10; order.length < 3; now++) {
				const [permit] = listGrants(point.handle({type: 'release', permitId, result: attemptResults.completed}, now));
				permitId = permit!.permitId;
				order.push(permit!.attemptId);
			}

			expect(order).to.deep.equal(['soon', 'low', 'late']);
		});

		// Guards against engines that run a long prompt before short ones.
		it('gives long prompts a higher engine priority number than short ones of any caller priority', () => {
			const point = createPoint();
			const [short] = listGrants(request(point, 0, 'short', {priority: priorities.low}));
			const [long] = listGrants(request(point, 0, 'long', {priority: priorities.high, prefillTokens: 50_000, kvTokens: 50_100}));
			expect(long!.enginePriority).to.be.greaterThan(short!.enginePriority);
		});

		// Guards against starvation of a prompt that needs nearly all KV memory while short prompts keep arriving.
		it('sets memory aside for a long prompt that waited', () => {
			const point = createPoint({agingMs: 1000});
			const open: Array<{permitId: string; grantedAt: number}> = [];
			let isLongGranted = false;
			for (let now = 0; now < 20_000 && !isLongGranted; now += 100) {
				const commands = now % 1000 === 0 ? point.handle({type: 'report', report: createReport()}, now) : [];
				commands.push(...request(point, now, `s${now}`, {kvTokens: 15_000}));
				if (now === 1000) {
					commands.push(...request(point, now, 'long', {prefillTokens: 90_000, kvTokens: 95_000}));
				}

				while (open[0] !== undefined && open[0].grantedAt <= now - 400) {
					const {permitId} = open.shift()!;
					commands.push(...point.handle({type: 'firstToken', permitId}, now), ...point.handle({type: 'release', permitId, result: attemptResults.completed}, now));
				}

				const grants = listGrants(commands);
				isLongGranted = grants.some(permit => permit.attemptId === 'long');
				open.push(...grants.map(({permitId}) => ({permitId, grantedAt: now})));
			}

			expect(isLongGranted).to.be.true;
		});
	});

	describe('in any schedule', () => {
		type Attempt = {permit: Permit; request: PermitRequest; hasFirstToken: boolean; isRenewed: boolean};
		type Step = {action: 'request' | 'first' | 'end' | 'lose' | 'mode' | 'boot' | 'report' | 'wait'; pick: number; tokens: number; mode: AdmissionMode; result: AttemptResult};
		const steps = fc.array(fc.record<Step>({
			action: fc.constantFrom('request', 'request', 'request', 'request', 'first', 'first', 'end', 'end', 'lose', 'mode', 'boot', 'report', 'report', 'wait', 'wait', 'wait'),
			pick: fc.nat(1000),
			tokens: fc.oneof(fc.integer({min: 1, max: 2500}), fc.integer({min: 1, max: 60_000})),
			mode: fc.constantFrom('full', 'full', 'half', 'rebuilding', 'stopped'),
			result: fc.constantFrom('completed', 'completed', 'completed', 'not_started', 'failed', 'cancelled'),
		}), {minLength: 20, maxLength: 150});

		const coldSuccesses = 3;

		/** Model engine whose reports lag, whose permit holders may disappear, and which restarts and carries out cancels. */
		class World {
			readonly point: AdmissionPoint;
			readonly attempts = new Map<string, Attempt>();
			readonly requests = new Map<string, PermitRequest>();
			readonly answered = new Set<string>();
			now = 0;
			boot = 1;
			sequence = 0;
			readonly snapshots: Array<{at: number; running: Attempt[]}> = [];

			/** Requests completed since the start of the engine, which is cold until there are `coldSuccesses` of them. */
			completed = 0;

			constructor(readonly profile: BackendServerProfile) {
				this.point = new AdmissionPoint(profile, {reportLagMs: 1000, warmup: {coldSuccesses, successesPerStep: 2, minStepMs: 100}});
			}

			send(event: AdmissionEvent): void {
				this.apply(this.point.handle(event, this.now));
			}

			apply(commands: AdmissionCommand[]): void {
				for (const command of commands) {
					if (command.type !== 'cancel') {
						this.answered.add(command.type === 'grant' ? command.permit.attemptId : command.attemptId);
					}

					if (command.type === 'cancel') {
						this.attempts.delete(command.attemptId);
					} else if (command.type === 'grant' && command.permit.bootId === `boot-${this.boot}`) {
						this.attempts.set(command.permit.attemptId, {
							permit: command.permit, request: this.requests.get(command.permit.attemptId)!,
							hasFirstToken: false, isRenewed: true,
						});
						this.check();
					}
				}
			}

			check(): void {
				const {bounds} = this.point;
				const live = [...this.attempts.values()];
				const isCold = this.completed < coldSuccesses;
				const sum = (select: (attempt: Attempt) => number) => live.reduce((total, attempt) => total + select(attempt), 0);
				expect(live.length, 'concurrency').to.be.at.most(bounds.concurrency);
				expect(sum(attempt => attempt.request.kvTokens), 'kv').to.be.at.most(bounds.kvTokens);
				const prefillTokens = sum(attempt => attempt.hasFirstToken ? 0 : attempt.request.prefillTokens);
				expect(prefillTokens, 'prefill').to.be.at.most(bounds.prefillTokens);
				if (isCold) {
					expect(live.length, 'cold concurrency').to.be.at.most(this.profile.coldConcurrency);
					expect(prefillTokens, 'cold prefill').to.be.at.most(this.profile.coldPrefillTokens);
				}
			}

			run(step: Step): void {
				const live = [...this.attempts.values()];
				const attempt = live[step.pick % Math.max(1, live.length)];
				const actions: Record<Step['action'], () => void> = {
					request: () => {
						const id = `a${++this.sequence}`;
						const created = createRequest(id, {
							prefillTokens: step.tokens, kvTokens: step.tokens + 100, workspaceId: `w${step.pick % 3}`, isSuspect: step.pick % 20 === 0,
						});
						this.requests.set(id, created);
						this.send({type: 'request', request: created});
					},
					first: () => {
						if (attempt?.isRenewed) {
							attempt.hasFirstToken = true;
							this.send({type: 'firstToken', permitId: attempt.permit.permitId});
						}
					},
					end: () => {
						if (attempt?.isRenewed) {
							// After a failure or cancellation, the attempt may run on until a cancel command arrives.
							if (step.result === 'completed' || step.result === 'not_started' || step.pick % 2 === 0) {
								this.attempts.delete(attempt.permit.attemptId);
							}

							this.completed += step.result === 'completed' ? 1 : 0;
							attempt.isRenewed = false;
							this.send({type: 'release', permitId: attempt.permit.permitId, result: step.result});
						}
					},
					lose() {
						if (attempt !== undefined) {
							attempt.isRenewed = false;
						}
					},
					mode: () => {
						this.send({type: 'mode', mode: step.mode});
					},
					boot: () => {
						this.boot++;
						this.completed = 0;
						this.attempts.clear();
						this.snapshots.length = 0;
					},
					report: () => {
						this.report();
					},
					wait: () => {
						this.wait(step.pick * 5);
					},
				};
				actions[step.action]();
			}

			wait(durationMs: number): void {
				const end = this.now + durationMs;
				while (this.now < end) {
					this.now = Math.min(end, this.now + 500);
					const renewed = [...this.attempts.values()].filter(attempt => attempt.isRenewed);
					this.send({type: 'renew', permitIds: renewed.map(attempt => attempt.permit.permitId)});
					this.snapshots.push({at: this.now, running: [...this.attempts.values()]});
				}
			}

			/** Sends a report whose running list is up to 900 ms old and whose boot id is current. */
			report(): void {
				const snapshot = this.snapshots.findLast(({at}) => at <= this.now - 400 && at >= this.now - 900);
				const running = (snapshot?.running ?? [...this.attempts.values()]).map(({request: {requestId, attemptId, kvTokens}}) => ({
					requestId, attemptId, kvTokens, phase: 'prefill' as const,
				}));
				this.send({type: 'report', report: createReport({bootId: `boot-${this.boot}`, profile: this.profile, running})});
			}
		}

		const runSchedule = (profile: BackendServerProfile, schedule: Step[]): World => {
			const world = new World(profile);
			world.report();
			for (const step of schedule) {
				world.run(step);
				world.now += 10;
			}

			return world;
		};

		// Guards against memory, concurrency or prefill above the bounds after expiry, restart or a change of mode,
		// and against more load on a cold engine than its profile allows.
		it('never exceeds the bounds on the engine', () => {
			fc.assert(fc.property(fc.constantFrom(warmProfile, coldProfile), steps, (profile, schedule) => {
				runSchedule(profile, schedule);
			}), {seed: 20_261_204, numRuns: 400});
		});

		// Guards against requests that are neither granted nor refused, and against capacity that is never returned.
		it('answers every request and returns all capacity in the end', () => {
			fc.assert(fc.property(steps, schedule => {
				const world = runSchedule(warmProfile, schedule);
				world.send({type: 'mode', mode: 'full'});
				for (const attempt of world.attempts.values()) {
					attempt.isRenewed = false;
				}

				for (let round = 0; round < 200; round++) {
					world.now += 1000;
					world.snapshots.length = 0;
					world.report();
					for (const attempt of world.attempts.values()) {
						attempt.isRenewed = false;
					}
				}

				expect([...world.answered]).to.have.members([...world.requests.keys()]);
				expect(world.attempts.size).to.equal(0);
				expect(world.point.load).to.include({
					running: 0, kvTokensUsed: 0, queuedPrefillTokens: 0, runningPrefillTokens: 0,
				});
			}), {seed: 20_261_204, numRuns: 200});
		});
	});
});
