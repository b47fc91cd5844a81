import {expect} from 'chai';
import {FreshnessTracker} from './freshness-tracker.js';
import {RouteTable} from './route-table.js';
import {selectTarget} from './select-target.js';
import {executionKinds, isRepeatable, type Route} from './traffic-configuration.js';

const buildRoute = (name: string, changes: Partial<Route> = {}): Route => ({
	name, host: 'a.example', prefix: '/', execution: executionKinds.idempotent, isResumable: false, timeoutMs: 1000, targetMs: 100,
	pauseTargetMs: undefined, priority: 1, targets: [], attemptLimit: 1, isPublic: false, ...changes,
});

describe('traffic', () => {
	describe('RouteTable', () => {
		const table = new RouteTable({
			version: 1,
			routes: [buildRoute('root'), buildRoute('long', {prefix: '/a/b/'}), buildRoute('short', {prefix: '/a/'})],
			services: [],
			workspaces: [{name: 'w', credentials: ['k'], priority: undefined}],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			unreadParts: [],
		});

		// Guards against a shorter prefix hiding a longer one, and prefixes that match within a path segment.
		it('finds the longest prefix of the host', () => {
			expect(table.findRoute('a.example', '/a/b/c')!.name).to.equal('long');
			expect(table.findRoute('A.Example:8080', '/a/bc')!.name).to.equal('short');
			expect(table.findRoute('a.example', '/ab')!.name).to.equal('root');
			expect(table.findRoute('b.example', '/a/')).to.equal(undefined);
		});

		it('finds workspaces by credential', () => {
			expect(table.findWorkspace('k')!.name).to.equal('w');
			expect(table.findWorkspace('other')).to.equal(undefined);
		});
	});

	describe('selectTarget', () => {
		// Guards against a target of weight 0 that is still given requests.
		it('follows the weights', () => {
			const targets = [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}];
			expect([0, 0.89, 0.9, 0.999].map(random => selectTarget(targets, random))).to.deep.equal(['a', 'a', 'b', 'b']);
			expect(selectTarget([], 0.5)).to.equal(undefined);
		});
	});

	describe('isRepeatable', () => {
		it('allows repetition of idempotent requests and resumable streams only', () => {
			expect(isRepeatable(buildRoute('a'))).to.equal(true);
			expect(isRepeatable(buildRoute('a', {execution: executionKinds.nonIdempotent}))).to.equal(false);
			expect(isRepeatable(buildRoute('a', {execution: executionKinds.stream}))).to.equal(false);
			expect(isRepeatable(buildRoute('a', {execution: executionKinds.stream, isResumable: true}))).to.equal(true);
		});
	});

	describe('ConfirmedKnowledge', () => {
		it('ages from the moment the source was asked', () => {
			const knowledge = new FreshnessTracker(300);
			expect(knowledge.isFresh({monotonic: 0, wall: 0}, 1000)).to.equal(false);
			knowledge.confirm({monotonic: 100, wall: 5000});
			expect(knowledge.isFresh({monotonic: 1100, wall: 6000}, 1000)).to.equal(true);
			expect(knowledge.isFresh({monotonic: 1101, wall: 6001}, 1000)).to.equal(false);
		});

		// Guards against a suspended instance that honours a credential which was removed meanwhile.
		it('is unconfirmed after the clocks have moved apart, until it is confirmed again', () => {
			const knowledge = new FreshnessTracker(300);
			knowledge.confirm({monotonic: 0, wall: 0});
			expect(knowledge.isFresh({monotonic: 10, wall: 4010}, 1000)).to.equal(false);
			expect(knowledge.isFresh({monotonic: 10, wall: -2000}, 1000)).to.equal(false);
			knowledge.confirm({monotonic: 20, wall: 4020});
			expect(knowledge.isFresh({monotonic: 30, wall: 4030}, 1000)).to.equal(true);
		});

		// Guards against an answer that comes late and makes the knowledge older.
		it('keeps the newest confirmation', () => {
			const knowledge = new FreshnessTracker(300);
			knowledge.confirm({monotonic: 500, wall: 500});
			knowledge.confirm({monotonic: 100, wall: 100});
			expect(knowledge.computeAgeMs({monotonic: 600, wall: 600})).to.equal(100);
		});
	});
});
