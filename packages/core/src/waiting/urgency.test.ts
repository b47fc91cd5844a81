import {expect} from 'chai';
import {executionKinds, type Route, type TrafficWorkspace} from '../traffic/traffic-configuration.js';
import {UrgencyTable} from './urgency.js';

const buildRoute = (priority: number, changes: Partial<Route> = {}): Route => ({
	name: `r${priority}`, host: 'h', prefix: `/${priority}/`, execution: executionKinds.stream, isResumable: true, timeoutMs: 1000, targetMs: 100,
	pauseTargetMs: undefined, priority, targets: [{service: 's', weight: 1}], attemptLimit: 1, isPublic: false, ...changes,
});
const buildWorkspaces = (...priorities: Array<number | undefined>): TrafficWorkspace[] =>
	priorities.map((priority, index) => ({name: `w${index}`, credentials: [`k${index}`], priority}));

describe('UrgencyTable', () => {
	// Guards against queueing at deployments whose configuration does not call for it.
	it('ranks no service whose requests all have the same priority', () => {
		const route = buildRoute(1);
		const other = buildRoute(2, {targets: [{service: 'other', weight: 1}, {service: 's', weight: 0}]});
		expect(new UrgencyTable({routes: [route, other], workspaces: undefined}).getUrgency('s', route, undefined)).to.equal(undefined);
		expect(new UrgencyTable({routes: [route], workspaces: buildWorkspaces(3, 3)}).getUrgency('s', route, 'w0')).to.equal(undefined);
		expect(new UrgencyTable({routes: [buildRoute(1, {isPublic: true})], workspaces: buildWorkspaces(0, 3)}).getUrgency('s', route, undefined)).to.equal(undefined);
	});

	// Guards against routes of different priority that are treated alike because their callers all have the same priority.
	it('ranks by route where the workspaces do not differ', () => {
		const routes = [buildRoute(0), buildRoute(2)];
		for (const workspaces of [undefined, buildWorkspaces(1, 1), buildWorkspaces(undefined)]) {
			const table = new UrgencyTable({routes, workspaces});
			expect(routes.map(route => table.getUrgency('s', route, workspaces?.[0]?.name))).to.deep.equal([0, 2]);
		}
	});

	// Guards against a route's priority that overrides its caller's, and against values that backend servers do not accept.
	it('puts the priority of the workspace before that of the route, within 0 to 9', () => {
		const route = buildRoute(2);
		const table = new UrgencyTable({routes: [route], workspaces: buildWorkspaces(12, undefined, -3)});
		expect(['w0', 'w1', 'w2', 'unknown', undefined].map(name => table.getUrgency('s', route, name))).to.deep.equal([9, 2, 0, 2, 2]);
	});
});
