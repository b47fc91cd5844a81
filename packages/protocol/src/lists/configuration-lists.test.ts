import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {parseLists} from './configuration-lists.js';

const readExample = (deployment: string, file: string) => ({
	file,
	text: readFileSync(new URL(`../../../../examples/${deployment}/${file}`, import.meta.url), 'utf8'),
});
const plansText = readExample('prairie', 'plans.yaml').text;
const workspacesText = readExample('prairie', 'workspaces.yaml').text;

const listProblems = (plans: string, workspaces = workspacesText) => {
	const result = parseLists({file: 'workspaces.yaml', text: workspaces}, {file: 'plans.yaml', text: plans});
	return result.ok ? [] : result.error;
};

describe('parseLists', () => {
	for (const deployment of ['prairie', 'kerala-coast']) {
		it(`accepts the lists of ${deployment}`, () => {
			const result = parseLists(readExample(deployment, 'workspaces.yaml'), readExample(deployment, 'plans.yaml'));
			expect(result.ok ? [] : result.error).to.deep.equal([]);
			expect(result.ok && result.value.workspaces).to.have.lengthOf(10);
			expect(result.ok && result.value.services.every(service => !service.idempotentMethods.includes('POST'))).to.equal(true);
		});
	}

	// Guards against problems that are reported one per run, so that an operator gives up on a file with many.
	it('reports all problems of both files at once with line and path', () => {
		const plans = plansText.replace('share: 4', 'share: 0').replace('deadlineMs: 300000', 'deadline: 300s').replace('models: [shop-desk]', 'models: [shop-dusk]');
		const workspaces = workspacesText.replace('plan: shop', 'plan: shoppe').replace('id: thunder-rail', 'id: wheatland-spur');
		const problems = listProblems(plans, workspaces);
		expect(problems.map(problem => `${problem.file} ${problem.path}`)).to.have.members([
			'plans.yaml plans[0].share',
			'plans.yaml plans[0].deadlineMs',
			'plans.yaml plans[0].deadline',
			'plans.yaml plans[2].models[0]',
			'workspaces.yaml workspaces[8].plan',
			'workspaces.yaml workspaces[6].id',
		]);
		const unknownKey = problems.find(problem => problem.path === 'plans[0].deadline')!;
		expect(unknownKey.message).to.include('deadlineMs');
		expect(plans.split('\n')[unknownKey.line - 1]).to.include('deadline: 300s');
	});

	// Faults that a check of the value types alone would not explain: units, references, duplicates and limits.
	const faults: Array<{name: string; from: string | RegExp; to: string; path: string; message: string}> = [
		{
			name: 'a value with a unit', from: 'deadlineMs: 300000', to: 'deadlineMs: 300s', path: 'plans[0].deadlineMs', message: 'in ms',
		},
		{
			name: 'an unknown failure domain', from: 'failureDomains: [regina, saskatoon, moose-jaw]\n    requests', to: 'failureDomains: [reginna]\n    requests',
			path: 'plans[0].failureDomains[0]', message: 'unknown failure domain',
		},
		{
			name: 'an unknown service', from: 'services: [work-orders, bookings]', to: 'services: [work-order]', path: 'plans[0].services[0]', message: 'unknown service',
		},
		{
			name: 'a duplicate plan', from: 'id: branch-line', to: 'id: line-haul', path: 'plans[1].id', message: 'duplicate plan',
		},
		{
			name: 'a prompt no deployment can serve', from: 'longestPromptTokens: 1048576', to: 'longestPromptTokens: 9000000', path: 'plans[0].longestPromptTokens', message: '1048576',
		},
		{
			name: 'a target past the deadline', from: 'targetMs: 120000', to: 'targetMs: 400000', path: 'plans[0].firstTokenTargets[2].targetMs', message: 'past the deadline',
		},
		{
			name: 'targets out of order', from: 'upToTokens: 100000', to: 'upToTokens: 4000', path: 'plans[0].firstTokenTargets[1].upToTokens', message: 'rise',
		},
		{
			name: 'a duplicate YAML key', from: 'fleet: prairie', to: 'fleet: prairie\nfleet: prairie', path: '', message: 'unique',
		},
	];
	for (const fault of faults) {
		it(`rejects ${fault.name}`, () => {
			const problem = listProblems(plansText.replace(fault.from, fault.to)).find(each => each.path === fault.path);
			expect(problem?.message).to.include(fault.message);
		});
	}

	// Guards against two workspaces with one credential: one customer would be billed for the other's requests.
	it('rejects a credential digest used by two workspaces', () => {
		const digests = [...workspacesText.matchAll(/sha256:[\da-f]{64}/gv)].map(match => match[0]);
		const problems = listProblems(plansText, workspacesText.replace(digests[1]!, digests[0]!));
		expect(problems.map(problem => problem.path)).to.deep.equal(['workspaces[1].credentialDigests[0]']);
	});

	it('reports syntax errors with their line', () => {
		const [problem] = listProblems(plansText, 'workspaces:\n  - id: [a');
		expect(problem).to.include({file: 'workspaces.yaml', path: ''});
		expect(listProblems(plansText, '')).to.have.lengthOf(1);
		expect(listProblems(plansText, '- 1')).to.have.lengthOf(1);
	});
});
