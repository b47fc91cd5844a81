import {expect} from 'chai';
import fc from 'fast-check';
import {AttemptRace} from './attempt-race.js';

const partCount = 5;
const attemptLimit = 4;

/** An attempt of the model; `next` is the part that it brings next. */
type ModelAttempt = {name: number; next: number; isCancelled: boolean};

/** A request whose attempts each continue the answer after the part that the caller had when they started. */
class ModelRequest {
	readonly received: number[] = [];
	readonly race = new AttemptRace<ModelAttempt>();
	readonly attempts: ModelAttempt[] = [];
	isComplete = false;

	start(): void {
		const attempt = {name: this.attempts.length, next: this.received.length + 1, isCancelled: false};
		this.attempts.push(attempt);
		this.race.add(attempt);
	}

	/** Brings the next part of an attempt, or the end of the answer after the last one. */
	bring(attempt: ModelAttempt): void {
		const losers = this.race.claim(attempt);
		if (losers === undefined) {
			return;
		}

		for (const loser of losers) {
			loser.isCancelled = true;
		}

		if (attempt.next > partCount) {
			this.isComplete = true;
			this.race.remove(attempt);
		} else {
			this.received.push(attempt.next++);
		}
	}
}

type Step = {kind: 'bring' | 'break' | 'silence'; index: number};

const runSteps = (steps: readonly Step[]): ModelRequest => {
	const request = new ModelRequest();
	request.start();
	for (const {kind, index} of steps) {
		const attempt = request.attempts[index % request.attempts.length]!;
		const runningBefore = request.race.running;
		stepHandlers[kind](request, attempt);
		// Only a part of the answer may end an attempt that has not ended by itself.
		if (kind !== 'bring') {
			expect(runningBefore.filter(other => other !== attempt && !request.race.running.includes(other))).to.deep.equal([]);
		}
	}

	return request;
};

const stepHandlers: Record<Step['kind'], (request: ModelRequest, attempt: ModelAttempt) => void> = {
	bring(request, attempt) {
		request.bring(attempt);
	},
	break(request, attempt) {
		request.race.remove(attempt);
		if (request.race.running.length === 0 && !request.isComplete && request.attempts.length < attemptLimit) {
			request.start();
		}
	},
	silence(request, attempt) {
		request.race.recordSilence(attempt);
		if (request.race.isSilentThroughout && request.attempts.length < attemptLimit) {
			request.start();
		}
	},
};

describe('AttemptRace', () => {
	const step = fc.record({kind: fc.constantFrom<Step['kind']>('bring', 'break', 'silence'), index: fc.nat(attemptLimit - 1)});
	const steps = fc.array(step, {minLength: 20, maxLength: 60});

	// Guards against parts of an answer that are missing, doubled or brought by an attempt that has lost.
	it('lets the caller have each part once and in order', () => {
		fc.assert(fc.property(steps, list => {
			const {received, isComplete} = runSteps(list);
			expect(received).to.deep.equal(Array.from({length: received.length}, (_, index) => index + 1));
			expect(!isComplete || received.length === partCount).to.equal(true);
		}), {numRuns: 2000});
	});

	// Guards against an attempt that is ended although no other one has brought anything.
	it('keeps an attempt that can still finish the answer', () => {
		fc.assert(fc.property(steps, list => {
			const request = runSteps(list);
			for (const attempt of request.race.running) {
				expect(attempt.next).to.equal(request.received.length + 1);
				expect(attempt.isCancelled).to.equal(false);
			}
		}), {numRuns: 2000});
	});

	it('asks for another attempt only while all running ones are silent', () => {
		const race = new AttemptRace<string>();
		race.add('a');
		race.recordSilence('a');
		expect(race.isSilentThroughout).to.equal(true);
		race.add('b');
		expect(race.isSilentThroughout).to.equal(false);
		race.recordSilence('b');
		expect(race.isSilentThroughout).to.equal(true);
		race.recordProgress('b');
		expect(race.isSilentThroughout).to.equal(false);
		expect(race.claim('a')).to.deep.equal(['b']);
		expect(race.isSilent('a')).to.equal(false);
		expect(race.claim('b')).to.equal(undefined);
		race.recordSilence('b');
		expect(race.isSilent('b')).to.equal(false);
	});
});
