import {expect} from 'chai';
import fc from 'fast-check';
import {RequestLifecycle, requestStates, type RequestEvent} from './request-lifecycle.js';
import {requestTransitions, type RequestEventType, type RequestState} from './request-transitions.js';

const finalStates: ReadonlySet<RequestState> = new Set(['completed', 'notRun', 'failed', 'unknown']);
const settledEvents = new Set(['settledCompleted', 'settledNotRun', 'settledFailed', 'settledUnknown']);
const eventTypes = [...new Set(Object.values(requestTransitions).flatMap(events => Object.keys(events)))]
	.filter(type => !settledEvents.has(type)) as Array<RequestEvent['type']>;

/** Shortest event sequence from `received` to each state. */
const findPaths = (): Map<RequestState, RequestEventType[]> => {
	const paths = new Map<RequestState, RequestEventType[]>([['received', []]]);
	for (const [state, path] of paths) {
		for (const [event, next] of Object.entries(requestTransitions[state])) {
			if (!paths.has(next)) {
				paths.set(next, [...path, event as RequestEventType]);
			}
		}
	}

	return paths;
};

const start = (path: readonly RequestEventType[]): RequestLifecycle => {
	const request = new RequestLifecycle({isIdempotent: false});
	for (const type of path) {
		request.handle({type: type as RequestEvent['type'], deadlineInMs: 1000}, 0);
	}

	return request;
};

describe('RequestLifecycle', () => {
	// Guards against a state that has no path to an outcome.
	it('reaches every state and can close from every open state', () => {
		const paths = findPaths();
		expect([...paths.keys()]).to.have.members(requestStates);
		for (const state of requestStates.filter(each => !finalStates.has(each) && each !== 'closing')) {
			expect(requestTransitions[state].deadline, state).to.equal('closing');
			expect(requestTransitions[state].callerGone, state).to.equal('closing');
		}
	});

	// Guards against an event that is ignored by mistake, or that changes a state without a transition for it.
	it('follows the transition table for every state and event', () => {
		for (const [state, path] of findPaths()) {
			if (state === 'closing' || finalStates.has(state)) {
				continue;
			}

			for (const type of eventTypes) {
				const request = start(path);
				const commands = request.handle({type, deadlineInMs: 1000}, 0);
				const next = requestTransitions[state][type] ?? state;
				const hasFinished = commands.some(command => command.type === 'finish');
				expect(hasFinished, `${state} ${type}`).to.equal(next === 'closing');
				expect(next === 'closing' ? request.isFinal : request.state === next, `${state} ${type}`).to.equal(true);
			}
		}
	});

	// Guards against a second outcome, for example when the attempt completes after the deadline.
	it('finishes exactly once for any order of events', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...eventTypes), {maxLength: 30}), types => {
			const request = new RequestLifecycle({isIdempotent: false});
			const commands = [...types, 'deadline' as const].flatMap(type => request.handle({type, deadlineInMs: 1000}, 0));
			expect(commands.filter(command => command.type === 'finish')).to.have.length(1);
			expect(commands.filter(command => command.type === 'startDeadline').length)
				.to.equal(commands.filter(command => command.type === 'cancelDeadline').length);
		}), {seed: 14, numRuns: 2000});
	});

	// Guards against an attempt that continues on a backend server after the deadline, and against a deadline that starts late.
	it('starts the deadline at admission and cancels the attempt when the deadline passes', () => {
		const request = new RequestLifecycle({isIdempotent: true});
		expect(request.handle({type: 'admitted', deadlineInMs: 500}, 1000)).to.deep.equal([{type: 'startDeadline', at: 1500}]);
		const attempt = {
			attemptId: 'a', serverId: 's', sentBytes: true, refusedByServer: false, passedOn: false, completed: false,
		};
		for (const type of ['claimSkipped', 'candidate', 'granted'] as const) {
			request.handle({type, attempt: type === 'granted' ? attempt : undefined}, 1100);
		}

		const commands = request.handle({type: 'deadline', retryAfterMs: 50}, 1500);
		expect(commands).to.deep.equal([
			{type: 'cancelAttempt', attemptId: 'a'},
			{type: 'cancelDeadline'},
			{type: 'finish', outcome: {kind: 'failed', reason: 'deadline_exceeded', retryAfterMs: 50}},
		]);
	});
});
