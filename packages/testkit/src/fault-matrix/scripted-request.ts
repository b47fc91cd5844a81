import {
	applyDomainEdit, decideClaim, decideRetry, FingerprintTable, FrameValidator, GroupReservation, initialAvailability, isInService, PermitValidity,
	RequestLifecycle, selectAdvertisedEntries, SliceHolder,
	type AttemptRecord, type AttemptResult, type Availability, type ClaimOutcome, type ClaimPhase, type Frame, type Outcome, type Permit,
	type RefusalReason, type RequestCommand, type RequestEvent, type SessionRecord, type TextHash,
} from '@knapweedrack/core';
import type {Fault, RequestKind, Step} from './fault-cells.js';
import {PausedOwner} from './paused-owner.js';
import {ScriptedServer, ScriptedStore} from './scripted-fleet.js';

/** Hash functions over text: `create` for checksums of streamed text, `hashText` for a whole text, `hash32` for the selection of owners and of advertised entries. */
export type ScriptHashes = {create: () => TextHash; hashText: (text: string) => string; hash32: (text: string) => number};

/** Script of one request: `fault` is injected when the request reaches `step`; without a fault the request must complete. */
export type RequestScript = {fault: Fault | undefined; step: Step; kind: RequestKind; seed: number; hashes: ScriptHashes};

/** Thrown where the entry's process is killed; it ends the script at that point. */
class EntryKilled extends Error {}

/** Result of one attempt, with the reason when it did not complete. */
type AttemptEnd = {result: AttemptResult; reason?: RefusalReason | undefined};

/** Result of one phase of the claim; `done` means that the outcome was written, and an outcome answers the request. */
type ClaimRunResult = 'owned' | 'unavailable' | 'done' | Outcome;

const deadlineMs = 30_000;
/** One pause shorter than the lease (6 s) and one longer than the lifetime of a permit (10 s). */
const freezeDurationsMs = [4000, 12_000];
/** Longer than the lease (6 s). */
const lapsingPauseMs = 8000;
/** Longer than the deadline of the request. */
const slowAnswerDelayMs = 60_000;
const storeTimeoutMs = 2000;
const answerParts = ['Profile ', 'of ', 'wheelset ', '47 ', 'is ', 'within ', 'limits.'];
const answerText = answerParts.join('');

/** Runs one scripted request through the decisions of the core in virtual time and checks the guarantees of the system. */
export class ScriptedRequest {
	readonly violations: string[] = [];
	readonly outcomes: Outcome[] = [];
	isInjected = false;
	#now = 0;
	#pendingFault: Fault | undefined;
	#isEntryAlive = true;
	#deadlineAt = Number.POSITIVE_INFINITY;
	#isDeadlineActive = false;
	#attemptCount = 0;
	#crashCount = 0;
	#delayMs = 0;
	#passedOnText = '';
	#hasCrashingContent = false;
	#isCallerGone = false;
	#isPeerConnectionCut = false;
	#isBackendConnectionCut = false;
	#isReplyLost = false;
	#frameFault: Fault | undefined;
	#availability: Availability = initialAvailability;
	#claimNonce = '';
	readonly #store = new ScriptedStore();
	readonly #servers: ScriptedServer[];
	readonly #permits = new Map<string, {permit: Permit; server: ScriptedServer}>();
	readonly #validity = new PermitValidity();
	readonly #fingerprints = new FingerprintTable();
	readonly #lifecycle: RequestLifecycle;
	readonly #slice: SliceHolder;
	readonly #owner: PausedOwner;
	#group: GroupReservation | undefined;

	readonly #faultHandlers: Record<Fault, (step: Step) => void> = {
		'entry killed'() {
			throw new EntryKilled();
		},
		'entry frozen': () => {
			this.#pauseEntry(freezeDurationsMs[this.script.seed % freezeDurationsMs.length]!);
		},
		'connection cut': step => {
			this.#isPeerConnectionCut = step === 'permit' || step === 'limit slice';
			this.#isBackendConnectionCut = step === 'dispatch' || step === 'prefill' || step === 'first token' || step === 'stream';
			this.#store.isNextAnswerLost = step === 'claim' || step === 'outcome write';
			this.#isCallerGone = step === 'connect' || step === 'finish';
		},
		'slow answer': () => {
			this.#delayMs = slowAnswerDelayMs;
		},
		'object API down': () => {
			this.#store.isDown = true;
		},
		'answer lost after write': step => {
			this.#store.isNextAnswerLost = step === 'claim' || step === 'outcome write' || (step === 'dispatch' && this.#kind === 'service call');
			this.#isReplyLost = step === 'permit' || step === 'release' || step === 'limit slice';
			this.#isBackendConnectionCut = step === 'finish' || (step === 'dispatch' && this.#kind !== 'service call');
		},
		'lease lapsed while paused': () => {
			this.#pauseEntry(lapsingPauseMs);
			this.#owner.resume(this.#now, this.violations);
			for (const server of this.#servers) {
				server.admissionPoint = server.createAdmissionPoint(2);
				// The new owner has no record of the permits that the former owner granted. It learns of them from the renewals that their holders send.
				server.report(this.#now);
				server.admissionPoint.handle({type: 'renew', permitIds: [...this.#permits.keys()]}, this.#now);
			}
		},
		'instance list lagging': () => {
			this.#servers[0]!.isDown = true;
			this.#servers[0]!.restart();
		},
		'engine cold without warning': () => {
			this.#servers[0]!.restart();
			this.#isBackendConnectionCut = this.script.step !== 'permit' && this.#permits.size > 0;
		},
		'content crashes engine': () => {
			this.#hasCrashingContent = true;
		},
		'crossed frames': () => {
			this.#frameFault = 'crossed frames';
		},
		'late frames': () => {
			this.#frameFault = 'late frames';
		},
		'truncated frames': () => {
			this.#frameFault = 'truncated frames';
		},
		'duplicated frames': () => {
			this.#frameFault = 'duplicated frames';
		},
		'operators racing': () => {
			this.#runOperatorRace();
		},
	};

	readonly #commandHandlers: {[Type in RequestCommand['type']]: (command: Extract<RequestCommand, {type: Type}>) => void} = {
		startDeadline: ({at}) => {
			this.#deadlineAt = at;
			this.#isDeadlineActive = true;
		},
		cancelDeadline: () => {
			this.#isDeadlineActive = false;
		},
		cancelAttempt: ({attemptId}) => {
			for (const server of this.#servers) {
				server.running.delete(attemptId);
			}
		},
		finish: ({outcome}) => {
			this.outcomes.push(outcome);
			if (this.#now > this.#deadlineAt) {
				this.#recordViolation('the final outcome was recorded after the deadline');
			}

			if (outcome.kind === 'not_run' && this.#countExecutions() > 0) {
				this.#recordViolation('the outcome is not_run although a backend server ran the request');
			}
		},
	};

	constructor(private readonly script: RequestScript) {
		const isEngine = script.kind !== 'service call';
		this.#servers = ['s1', 's2', 's3'].map((id, index) => new ScriptedServer(id, index === 0 ? 'north' : 'south', isEngine));
		this.#lifecycle = new RequestLifecycle({isIdempotent: isEngine});
		this.#slice = new SliceHolder(slicePlan, {entries: 2}, 0);
		this.#owner = new PausedOwner(script.hashes.hash32);
		this.#pendingFault = script.fault;
		for (const server of this.#servers) {
			server.report(0);
		}
	}

	/** Runs the request, then a fault-free recovery period, and returns the violated guarantees. */
	run(): string[] {
		try {
			this.#runSteps();
		} catch (error) {
			if (!(error instanceof EntryKilled)) {
				throw error;
			}

			this.#isEntryAlive = false;
		}

		this.#checkOutcome();
		this.#runRecovery();
		this.#checkReleased();
		return this.violations;
	}

	get #kind(): RequestKind {
		return this.script.kind;
	}

	#runSteps(): void {
		if (!this.#resolveEntry()) {
			return;
		}

		this.#beginStep('connect');
		// A connection cut at this step is harmless: nothing has reached the entry, and the caller reconnects.
		this.#isCallerGone = false;

		this.#beginStep('admit');
		this.#apply({type: 'admitted', deadlineInMs: deadlineMs});
		if (!this.#admitBySlice()) {
			return;
		}

		if (this.#kind === 'service call') {
			this.#apply({type: 'claimRequired'});
			this.#beginStep('claim');
			if (!this.#acquireClaim()) {
				this.#finishClaim();
				return;
			}
		} else {
			this.#apply({type: 'claimSkipped'});
		}

		this.#runAttempts();
		this.#finishClaim();
	}

	/** Injects the pending fault if this is its step. After the final outcome, only steps that follow the answer inject it. */
	#beginStep(step: Step): void {
		const fault = this.#pendingFault;
		if (step !== this.script.step || fault === undefined || (this.#lifecycle.isFinal && !afterAnswer.has(step))) {
			return;
		}

		this.#pendingFault = undefined;
		this.isInjected = true;
		this.#faultHandlers[fault](step);
	}

	/** Advances the clock while the entry renews nothing; owners and engines keep running. */
	#pauseEntry(durationMs: number): void {
		this.#advance(durationMs, false);
	}

	/** Advances the clock in steps of at most 500 ms and applies the request's deadline at its exact time. */
	#advance(durationMs: number, isRenewing = true): void {
		const end = this.#now + durationMs;
		while (this.#now < end) {
			const isDeadlineNext = this.#isDeadlineActive && this.#isEntryAlive && this.#deadlineAt > this.#now && this.#deadlineAt <= this.#now + 500;
			this.#now = Math.min(end, isDeadlineNext ? this.#deadlineAt : this.#now + 500);
			if (this.#isDeadlineActive && this.#isEntryAlive && this.#now >= this.#deadlineAt) {
				this.#apply({type: 'deadline'});
			}

			for (const server of this.#servers) {
				if (server.isDown) {
					continue;
				}

				if (isRenewing && this.#isEntryAlive) {
					server.admissionPoint.handle({type: 'renew', permitIds: this.#listPermits(server)}, this.#now);
					this.#validity.renew(this.#listPermits(server), 10_000, this.#now);
				}

				server.report(this.#now);
			}

			this.#runGroupCommands(this.#isEntryAlive && isRenewing ? this.#group?.handle({type: 'tick'}, this.#now) ?? [] : []);
		}
	}

	#listPermits(server: ScriptedServer): string[] {
		return [...this.#permits.values()].filter(held => held.server === server).map(held => held.permit.permitId);
	}

	/** Waits for the injected delay, up to the limit, and clears it. Returns whether the answer arrived within the limit. */
	#waitForAnswer(limitMs = Number.POSITIVE_INFINITY): boolean {
		const delayMs = this.#delayMs;
		this.#delayMs = 0;
		this.#advance(Math.min(delayMs, limitMs));
		return delayMs <= limitMs;
	}

	#apply(event: RequestEvent): void {
		for (const command of this.#lifecycle.handle(event, this.#now)) {
			this.#commandHandlers[command.type](command as never);
		}
	}

	#resolveEntry(): boolean {
		this.#beginStep('resolve entry');
		const entries = ['a', 'b'].map((entryId): SessionRecord => ({
			entryId, epoch: '1', callerAddress: '', peerAddress: '', failureDomain: entryId === 'a' ? 'north' : 'south', region: 'r',
			state: 'serving', configurationRevision: 1, availabilityRevision: 1, renewal: 1,
		}));
		const selected = selectAdvertisedEntries({
			sessions: entries, availability: this.#availability, ownedServers: new Map(), spreadKey: 'depot', hash: this.script.hashes.hash32,
		});
		if (selected.some(entry => !isInService(this.#availability, {id: entry.entryId, failureDomain: entry.failureDomain}))) {
			this.#recordViolation('an entry in an out-of-service failure domain is advertised');
		}

		return selected.length > 0;
	}

	#admitBySlice(): boolean {
		this.#beginStep('limit slice');
		const isAnswered = this.#waitForAnswer(storeTimeoutMs) && !this.#isPeerConnectionCut && !this.#isReplyLost;
		this.#isReplyLost = false;
		this.#isPeerConnectionCut = false;
		if (isAnswered) {
			this.#slice.handle({type: 'slice', slice: {...slicePlan, lifetimeMs: 2000, isContended: false}, requestedAt: this.#now}, this.#now);
		} else {
			// The holder falls back to its static floor only after the owner has been unreachable for some time.
			this.#slice.handle({type: 'unreachable'}, this.#now);
			this.#advance(2000);
		}

		// The buckets of a new slice start empty, so the request waits for their refill.
		let decision = this.#slice.tryConsume({tokens: 1100}, this.#now);
		for (let round = 0; round < 3 && decision.type === 'refused'; round++) {
			this.#advance(decision.retryAfterMs);
			decision = this.#slice.tryConsume({tokens: 1100}, this.#now, true);
		}

		if (decision.type === 'refused') {
			this.#apply({type: 'refused', reason: decision.reason, retryAfterMs: decision.retryAfterMs});
		}

		return !this.#lifecycle.isFinal;
	}

	#acquireClaim(): boolean {
		this.#claimNonce = 'nonce-a';
		const end = this.#runClaim('claiming', 'a');
		if (end === 'owned') {
			this.#apply({type: 'claimed'});
		} else {
			this.#apply({type: 'refused', reason: end === 'unavailable' ? 'claim_store_unavailable' : 'claim_in_progress'});
		}

		return !this.#lifecycle.isFinal;
	}

	/** Reads the claim, decides and writes conditionally, as the entry does; repeats this after a version mismatch or a lost answer, up to 6 rounds. */
	#runClaim(phase: ClaimPhase, entryId: 'a' | 'b', outcome?: ClaimOutcome): ClaimRunResult {
		const attempt = {
			workspaceId: 'depot', bodyDigest: 'd', nonce: entryId === 'a' ? this.#claimNonce : 'nonce-b', entryId, epoch: '1', phase, outcome,
			wallNow: this.#now, isHolderGone: entryId === 'b' && !this.#isEntryAlive,
		};
		for (let round = 0; round < 6; round++) {
			if (this.#store.isDown) {
				return 'unavailable';
			}

			const {version} = this.#store;
			const decision = decideClaim(this.#store.record, attempt);
			if (decision.type === 'answer') {
				return decision.outcome as Outcome;
			}

			if (decision.type === 'refuse') {
				return {kind: decision.outcome, reason: decision.reason};
			}

			if (decision.type === 'dispatch' || (decision.type === 'mark' && phase === 'claiming')) {
				return 'owned';
			}

			if (decision.type === 'done') {
				return 'done';
			}

			this.#store.isNextAnswerLost ||= !this.#waitForAnswer(storeTimeoutMs);
			const result = this.#store.put(decision.record, version);
			if (result === 'down') {
				return 'unavailable';
			}

			if (result === 'written') {
				return decision.type === 'finish' ? 'done' : 'owned';
			}
		}

		return 'unavailable';
	}

	#runAttempts(): void {
		const excluded = new Set<ScriptedServer>();
		while (!this.#lifecycle.isFinal) {
			const candidates = this.#listCandidates(excluded);
			const server = candidates[0];
			if (server === undefined) {
				this.#apply({type: 'giveUp', reason: 'no_backend_server'});
				return;
			}

			this.#apply({type: 'candidate'});
			const attempt: AttemptRecord = {
				attemptId: `attempt-${++this.#attemptCount}`, serverId: server.id, sentBytes: false, refusedByServer: false, passedOn: false, completed: false,
			};
			this.#lifecycle.recordAttempt(attempt);
			const isGranted = this.#runAttempt(server, attempt);
			excluded.add(server);
			this.#decideAfterAttempt(attempt, isGranted, excluded);
		}
	}

	#listCandidates(excluded: ReadonlySet<ScriptedServer>): ScriptedServer[] {
		return this.#servers.filter(server => !excluded.has(server)
			&& isInService(this.#availability, {id: server.id, failureDomain: server.failureDomain}));
	}

	#decideAfterAttempt(attempt: AttemptRecord, isGranted: boolean, excluded: ReadonlySet<ScriptedServer>): void {
		if (attempt.completed) {
			this.#apply({type: 'attemptCompleted', attempt});
		}

		if (this.#lifecycle.isFinal) {
			return;
		}

		this.#apply({type: isGranted ? 'attemptFailed' : 'permitRefused', attempt});
		const decision = decideRetry({
			attempts: this.#lifecycle.attempts, isIdempotent: this.#kind !== 'service call', isCallerGone: this.#isCallerGone, now: this.#now,
			deadlineAt: this.#deadlineAt, expectedAttemptMs: 25, hasBudget: true, candidatesLeft: this.#listCandidates(excluded).length,
		});
		if (decision.type === 'retry') {
			this.#apply({type: 'retry'});
		} else {
			this.#apply({type: 'giveUp', reason: decision.type === 'give_up' ? decision.reason : 'internal', retryAfterMs: 1000});
		}
	}

	/** Runs one attempt and returns whether it was granted a permit. */
	#runAttempt(server: ScriptedServer, attempt: AttemptRecord): boolean {
		if (this.#kind === 'group prompt' && !this.#reserveGroup()) {
			Object.assign(attempt, {reason: 'group_unavailable', result: 'not_started'});
			return false;
		}

		const permit = this.#requestPermit(server, attempt);
		let end: AttemptEnd = {result: 'not_started', reason: 'owner_unreachable'};
		if (permit !== undefined) {
			this.#permits.set(permit.permitId, {permit, server});
			this.#validity.add(permit, this.#now);
			this.#apply({type: 'granted', attempt});
			end = this.#sendAttempt(server, attempt, permit);
			Object.assign(attempt, end);
			this.#reportCompletion(attempt);
			this.#release(server, permit, this.#lifecycle.isFinal && !attempt.completed ? 'cancelled' : end.result);
		}

		Object.assign(attempt, end);
		this.#runGroupCommands(this.#group?.handle({type: 'finish'}, this.#now) ?? []);
		return permit !== undefined;
	}

	/** Completes the request before the permit is released, so that a fault at the release cannot change the caller's outcome. */
	#reportCompletion(attempt: AttemptRecord): void {
		if (attempt.completed) {
			this.#apply({type: 'attemptCompleted', attempt});
		}
	}

	#reserveGroup(): boolean {
		this.#group = new GroupReservation(this.#servers.slice(0, 2).map(({id}, index) => ({
			serverId: id, index, startToken: index * 500, tokens: 500, kvTokens: 500,
		})));
		this.#runGroupCommands(this.#group.handle({type: 'start'}, this.#now));
		return this.#group.state === 'reserved';
	}

	#runGroupCommands(commands: ReturnType<GroupReservation['handle']>): void {
		for (const command of commands) {
			const server = this.#servers.find(({id}) => id === command.serverId)!;
			if (server.isDown) {
				this.#runGroupCommands(this.#group!.handle({type: 'refused', serverId: server.id}, this.#now));
			} else if (command.type === 'reserve') {
				server.reservations.add('request');
				this.#runGroupCommands(this.#group!.handle({type: 'reserved', serverId: server.id}, this.#now));
			} else {
				server.reservations.delete('request');
				this.#runGroupCommands(this.#group!.handle({type: 'released', serverId: server.id}, this.#now));
			}
		}
	}

	#requestPermit(server: ScriptedServer, attempt: AttemptRecord): Permit | undefined {
		this.#beginStep('permit');
		if (this.#isPeerConnectionCut) {
			this.#isPeerConnectionCut = false;
			return undefined;
		}

		const request = {
			requestId: 'request', attemptId: attempt.attemptId, entryId: 'a', serverId: server.id, workspaceId: 'depot', weight: 1, priority: 1 as const,
			prefillTokens: 1000, decodeTokens: 100, kvTokens: 1100, deadlineInMs: this.#deadlineAt - this.#now, firstTokenInMs: 1000,
			isSuspect: this.#fingerprints.getRecord('content') !== undefined,
		};
		const send = () => server.admissionPoint.handle({type: 'request', request}, this.#now).find(command => command.type === 'grant');
		let grant = send();
		if (!this.#waitForAnswer()) {
			return undefined;
		}

		if (this.#isReplyLost) {
			this.#isReplyLost = false;
			grant = send();
		}

		if (grant === undefined || this.#lifecycle.isFinal) {
			server.admissionPoint.handle({type: 'withdraw', requestId: 'request', attemptId: attempt.attemptId}, this.#now);
			return undefined;
		}

		return grant.permit;
	}

	#sendAttempt(server: ScriptedServer, attempt: AttemptRecord, permit: Permit): AttemptEnd {
		this.#beginStep('dispatch');
		if (this.#kind === 'service call') {
			const marked = this.#runClaim('marking', 'a');
			if (marked !== 'owned') {
				this.#apply({type: 'refused', reason: marked === 'unavailable' ? 'claim_store_unavailable' : 'claim_in_progress'});
			}
		}

		if (this.#lifecycle.isFinal) {
			return {result: 'not_started'};
		}

		if (!this.#validity.isValid(permit.permitId, this.#now)) {
			return {result: 'not_started', reason: 'owner_unreachable'};
		}

		if (server.isDown) {
			return {result: 'not_started', reason: 'backend_failed'};
		}

		attempt.sentBytes = true;
		if (this.#kind !== 'service call' && permit.bootId !== `boot-${server.boot}`) {
			attempt.refusedByServer = true;
			return {result: 'not_started', reason: 'backend_refused'};
		}

		if (this.#fingerprints.startRun('content', {attemptId: attempt.attemptId, serverId: server.id}, this.#now).type === 'quarantined') {
			return {result: 'not_started', reason: 'quarantined'};
		}

		// Work that the owner has no permit for is not counted against the limits of a cold server and could overload it.
		if (!server.admissionPoint.hasPermit(permit.permitId)) {
			this.#recordViolation('work was sent without a permit that the owner knows');
		}

		server.executions++;
		server.running.set(attempt.attemptId, 'request');
		const end = this.#readAnswer(server, attempt);
		if (end.result !== 'crashed') {
			this.#fingerprints.recordRunEnd('content', attempt.attemptId);
		}

		return end;
	}

	/** Reads the answer step by step; each step first checks whether the attempt has already ended, for example by a cut connection. */
	#readAnswer(server: ScriptedServer, attempt: AttemptRecord): AttemptEnd {
		const validator = new FrameValidator('request', attempt.attemptId, this.script.hashes.create());
		for (const step of ['prefill', 'first token', 'stream', 'finish'] as const) {
			if (step !== 'prefill' || this.#kind !== 'service call') {
				this.#beginStep(step);
			}

			this.#waitForAnswer();
			const end = this.#findEarlyEnd(server, attempt);
			if (end !== undefined) {
				return end;
			}

			for (const frame of this.#applyFrameFault(this.#buildFrames(attempt, step))) {
				this.#acceptFrame(frame, validator, attempt);
			}
		}

		const isAnswerComplete = validator.close() === undefined && validator.isComplete;
		server.running.delete(attempt.attemptId);
		attempt.completed = isAnswerComplete && !this.#lifecycle.isFinal;
		return isAnswerComplete ? {result: 'completed'} : {result: 'failed', reason: 'stream_corrupt'};
	}

	#findEarlyEnd(server: ScriptedServer, attempt: AttemptRecord): AttemptEnd | undefined {
		if (this.#hasCrashingContent) {
			this.#crashCount++;
			server.restart();
			this.#fingerprints.recordCrash('content', {
				attemptId: attempt.attemptId, serverId: server.id, bootId: `boot-${server.boot}`, companions: [],
			});
			return {result: 'crashed', reason: 'backend_failed'};
		}

		if (this.#isCallerGone) {
			this.#apply({type: 'callerGone'});
		}

		if (this.#isBackendConnectionCut) {
			this.#isBackendConnectionCut = false;
			return {result: 'cancelled', reason: 'backend_failed'};
		}

		if (this.#lifecycle.isFinal) {
			return {result: 'cancelled'};
		}

		// Work that no longer runs was cancelled by the owner, because its permit was not renewed.
		return server.running.has(attempt.attemptId) ? undefined : {result: 'cancelled', reason: 'backend_failed'};
	}

	#buildFrames({attemptId}: AttemptRecord, step: Step): Frame[] {
		const all = answerParts.map((text, seq): Frame => ({
			requestId: 'request', attemptId, seq, text,
			last: seq === answerParts.length - 1
				? {
					frames: answerParts.length, promptTokens: 1000, completionTokens: 7, checksum: this.script.hashes.hashText(answerText),
				}
				: undefined,
		}));
		if (this.#kind === 'service call') {
			// A service sends its answer at once. It is checked in the form of frames, for its length and its end.
			return step === 'finish' ? all : [];
		}

		const ranges: Partial<Record<Step, [number, number]>> = {'first token': [0, 1], stream: [1, 5], finish: [5, 7]};
		const [start, end] = ranges[step] ?? [0, 0];
		return all.slice(start, end);
	}

	/** Applies the pending frame fault, if any, at the frame that the seed selects. */
	#applyFrameFault(frames: Frame[]): Frame[] {
		const fault = this.#frameFault;
		if (fault === undefined || frames.length === 0) {
			return frames;
		}

		this.#frameFault = undefined;
		const at = this.script.seed % frames.length;
		const frame = frames[at]!;
		const altered: Partial<Record<Fault, Frame[]>> = {
			'crossed frames': [{...frame, requestId: 'other', text: 'foreign '}, ...frames.slice(0, at), ...frames.slice(at + 1)],
			'late frames': [{...frame, attemptId: 'attempt-0', text: 'late '}, ...frames],
			'truncated frames': frames.slice(0, at),
			'duplicated frames': [...frames.slice(0, at + 1), ...frames.slice(at)],
		};
		return altered[fault] ?? frames;
	}

	#acceptFrame(frame: Frame, validator: FrameValidator, attempt: AttemptRecord): void {
		const decision = validator.accept(frame);
		if ((decision.type !== 'next' && decision.type !== 'complete') || this.#lifecycle.isFinal) {
			return;
		}

		if (!attempt.passedOn) {
			attempt.passedOn = true;
			this.#apply({type: 'firstFrame', attempt});
		}

		this.#passedOnText += decision.text;
	}

	#release(server: ScriptedServer, permit: Permit, result: AttemptResult): void {
		this.#beginStep('release');
		this.#waitForAnswer();
		this.#permits.delete(permit.permitId);
		const isLost = this.#isReplyLost;
		this.#isReplyLost = false;
		for (let copy = 0; copy < (isLost ? 2 : 1); copy++) {
			server.admissionPoint.handle({type: 'release', permitId: permit.permitId, result}, this.#now);
		}
	}

	#finishClaim(): void {
		if (this.#claimNonce === '') {
			return;
		}

		this.#beginStep('outcome write');
		const [outcome] = this.outcomes;
		let end = this.#runClaim('finishing', 'a', outcome);
		if (end === 'unavailable') {
			// The entry retries the write until the object API is available again.
			this.#advance(10_000);
			this.#store.isDown = false;
			end = this.#runClaim('finishing', 'a', outcome);
		}

		const {record} = this.#store;
		if (end === 'unavailable' || (record !== undefined && record.state !== 'finished')) {
			this.#recordViolation('the claim is left without an outcome');
		}
	}

	#runOperatorRace(): void {
		const instances = ['north', 'south'].map(failureDomain => ({
			id: `entry-${failureDomain}`, failureDomain, isEntry: true, isLive: true,
		}));
		const before = this.#availability;
		const edit = (current: Availability, failureDomain: string) => applyDomainEdit(current, {
			editId: failureDomain, failureDomain, state: 'out_of_service', instances,
		});
		// Both operators read the same revision, and each write is conditional on it, so exactly one write must fail.
		const writes = [edit(before, 'north'), edit(before, 'south')];
		const conflicts = writes.filter(write => !write.ok || !this.#writeAvailability(before, write.value));
		if (conflicts.length !== 1) {
			this.#recordViolation('the conditional writes of two operators did not give exactly one conflict');
		}

		if (edit(this.#availability, 'south').ok) {
			this.#recordViolation('an edit that takes the last failure domain out of service was accepted');
		}
	}

	#writeAvailability(read: Availability, written: Availability): boolean {
		const isCurrent = read.revision === this.#availability.revision;
		this.#availability = isCurrent ? written : this.#availability;
		return isCurrent;
	}

	#countExecutions(): number {
		return this.#servers.reduce((sum, server) => sum + server.executions, 0);
	}

	#checkOutcome(): void {
		const expected = this.#isEntryAlive && this.#lifecycle.state !== 'received' ? 1 : 0;
		if (this.outcomes.length > 1 || this.outcomes.length < expected) {
			this.#recordViolation(`the request has ${this.outcomes.length} final outcomes`);
		}

		const {fault} = this.script;
		if ((fault === undefined || harmlessFaults.has(fault)) && this.outcomes[0]?.kind !== 'completed') {
			this.#recordViolation('a request without a fault, or with a harmless one, did not complete');
		}

		if (this.outcomes[0]?.kind === 'completed' && this.#passedOnText !== answerText) {
			this.#recordViolation('the text of a completed answer differs from the text that the engine sent');
		}

		if (!answerText.startsWith(this.#passedOnText)) {
			this.#recordViolation('text of another request or repeated text was passed on to the caller');
		}
	}

	/** Lets one minute pass without faults, has the caller retry an uncompleted service call at another entry, and checks the number of executions. */
	#runRecovery(): void {
		this.#store.isDown = false;
		this.#store.isNextAnswerLost = false;
		if (!this.#isEntryAlive) {
			// The killed entry lost its memory, so nobody renews its permits and reservations.
			this.#permits.clear();
			this.#group = undefined;
		}

		this.#advance(60_000);
		if (this.#kind === 'service call' && this.outcomes[0]?.kind !== 'completed') {
			this.#retryAtOtherEntry();
		}

		if (this.#kind === 'service call' && this.outcomes[0]?.kind === 'not_run' && this.#countExecutions() === 0) {
			this.#recordViolation('a service call that did not run could not be retried at another entry');
		}

		if (this.#kind === 'service call' && this.#countExecutions() > 1) {
			this.#recordViolation('a non-idempotent service call was executed more than once');
		}

		if (this.#crashCount > 2) {
			this.#recordViolation(`the same content crashed ${this.#crashCount} servers`);
		}
	}

	#retryAtOtherEntry(): void {
		if (this.#runClaim('claiming', 'b') !== 'owned') {
			return;
		}

		if (this.#runClaim('marking', 'b') === 'owned') {
			this.#servers[2]!.executions++;
			this.#runClaim('finishing', 'b', {kind: 'completed'});
		}
	}

	#checkReleased(): void {
		for (const server of this.#servers) {
			if (server.isDown) {
				continue;
			}

			if (server.admissionPoint.load.running > 0 || server.admissionPoint.load.kvTokensUsed > 0) {
				this.#recordViolation(`a permit on ${server.id} was not released`);
			}

			if (server.running.size > 0 && this.#kind !== 'service call') {
				this.#recordViolation(`${server.id} still runs the request`);
			}

			if (server.reservations.size > 0 && this.#group !== undefined) {
				this.#recordViolation(`${server.id} still holds a memory reservation for the request`);
			}
		}

		const state = this.#store.record?.state;
		if (state === 'claimed' && this.#isEntryAlive) {
			this.#recordViolation('the claim is left in the state claimed, which blocks later attempts');
		}
	}

	#recordViolation(violation: string): void {
		this.violations.push(violation);
	}
}

/** Faults that a request must survive: it still has to complete. */
const harmlessFaults: ReadonlySet<Fault> = new Set(['late frames', 'duplicated frames', 'operators racing']);
/** Steps that run after the caller has its answer. */
const afterAnswer: ReadonlySet<Step> = new Set(['outcome write', 'release']);
const slicePlan = {requestsPerSecond: 100, tokensPerSecond: 1_000_000, concurrency: 10};
