import {readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseLists} from '@knapweedrack/protocol';
import {
	CallerClient, startFleet, type Fleet, type ServiceCall,
} from '@knapweedrack/testkit';
import VError from 'verror';
import {applyConfiguration} from '../configuration/apply-configuration.js';
import {renderProblems} from '../configuration/read-lists.js';
import {PlatformAccess} from '../platform/platform-access.js';
import type {Progress} from '../program/progress.js';
import {
	buildDemoCredential, buildDemoPrompt, createDemoDeployment, demoClasses, demoEngine, warmupRequestsPerEngine, warmupWorkspaces,
	type DemoClass,
} from './demo-plan.js';
import {
	summarizeDemo, type ClassResults, type DemoSummary, type WorkOrderFacts,
} from './demo-summary.js';

const examplesUrl = new URL('../../../../examples/prairie/', import.meta.url);
const platformTimeoutMs = 5000;
/** Period over which the requests of each class are spread, in ms. */
const loadPeriodMs = 6000;
/** Time between two warm-up requests of one entry; two entries share the 40 requests/s of one plan. */
const warmupPeriodMs = 60;
const workOrderWorkspace = 'great-plains-shortline';

const installLists = async (platformAddress: string, lists: {workspaces: string; plans: string}, progress: Progress): Promise<void> => {
	const parsed = parseLists({file: 'workspaces.yaml', text: lists.workspaces}, {file: 'plans.yaml', text: lists.plans});
	if (!parsed.ok) {
		throw new VError('the example lists are invalid: %s', renderProblems(parsed.error));
	}

	const access = new PlatformAccess(platformAddress, platformTimeoutMs);
	try {
		const applied = await applyConfiguration(access, {lists: parsed.value, author: 'demo', expectedRevision: undefined}, progress);
		if (!applied.ok) {
			throw new VError('the example lists could not be applied: %s', applied.error.message);
		}
	} finally {
		await access.close();
	}
};

/** Starts the example deployment on loopback. */
export const startDemoFleet = async (progress: Progress): Promise<Fleet> => {
	progress.update('starting the fleet');
	const [workspaces, plans] = await Promise.all(['workspaces.yaml', 'plans.yaml'].map(async name => readFile(fileURLToPath(new URL(name, examplesUrl)), 'utf8')));
	return startFleet({
		deployment: createDemoDeployment({workspaces: workspaces!, plans: plans!}),
		engine: demoEngine,
		platform: {listLagMs: 200},
		gracePeriodMs: 10_000,
		installConfiguration: async ({platformAddress, lists}) => installLists(platformAddress, lists, progress),
	});
};

/** Waits until the engines have owners and are warm. */
export const prepareDemoFleet = async (fleet: Fleet, progress: Progress): Promise<void> => {
	progress.update('waiting until the engines have owners');
	await waitForService(fleet);
	progress.update('warming up the engines');
	await warmUp(fleet);
};

/** Sends the requests of the demo and summarizes them. */
export const runDemoLoad = async (fleet: Fleet, progress: Progress): Promise<DemoSummary> => {
	await prepareDemoFleet(fleet, progress);
	progress.update('sending requests');
	const [workOrder, ...classes] = await Promise.all([
		sendWorkOrderTwice(fleet),
		...demoClasses.map(async demoClass => sendClass(fleet, demoClass)),
	]);
	return summarizeDemo(classes, workOrder);
};

const createCaller = (fleet: Fleet, workspaceId: string): CallerClient => new CallerClient({
	entries: fleet.entries.map(({address}) => address), credential: buildDemoCredential(workspaceId),
});

/** Sends one short prompt per model until it completes. */
const waitForService = async (fleet: Fleet): Promise<void> => {
	const caller = createCaller(fleet, workOrderWorkspace);
	try {
		for (const model of ['truing-model', 'shop-desk']) {
			for (;;) {
				const {outcome, retryAfterMs} = await caller.sendCompletion({model, prompt: 'ready?', maxTokens: 1});
				if (outcome === 'completed') {
					break;
				}

				await wait(Math.min(retryAfterMs ?? 200, 500));
			}
		}
	} finally {
		await caller.close();
	}
};

/** Sends short prompts through every entry, at the rate of the plan. */
const warmUp = async (fleet: Fleet): Promise<void> => {
	const requests = (warmupRequestsPerEngine * fleet.engines.length) / fleet.entries.length;
	await Promise.all(fleet.entries.map(async ({address}, entryIndex) => {
		const workspaceId = warmupWorkspaces[entryIndex % warmupWorkspaces.length]!;
		const caller = new CallerClient({entries: [address], credential: buildDemoCredential(workspaceId), isPinned: true});
		try {
			await Promise.all(Array.from({length: requests}, async (_, index) => {
				await wait(index * warmupPeriodMs);
				await caller.sendCompletion({model: index % 3 === 0 ? 'shop-desk' : 'truing-model', prompt: `warm-up ${address} ${index}`, maxTokens: 1});
			}));
		} finally {
			await caller.close();
		}
	}));
};

const sendClass = async (fleet: Fleet, demoClass: DemoClass): Promise<ClassResults> => {
	const caller = createCaller(fleet, demoClass.workspaceId);
	try {
		const results = await Promise.all(Array.from({length: demoClass.count}, async (_, index) => {
			await wait((index * loadPeriodMs) / demoClass.count);
			return caller.sendCompletion({
				model: demoClass.model,
				prompt: buildDemoPrompt(`${demoClass.name}-${index}`, demoClass.promptTokens),
				maxTokens: demoClass.maxTokens,
			});
		}));
		return {name: demoClass.name, results};
	} finally {
		await caller.close();
	}
};

const sendWorkOrderTwice = async (fleet: Fleet): Promise<WorkOrderFacts> => {
	const caller = createCaller(fleet, workOrderWorkspace);
	const idempotencyKey = 'demo-release-4711';
	const call: ServiceCall = {
		method: 'POST', path: 'work-orders/releases', body: JSON.stringify({workOrder: 4711}), idempotencyKey,
	};
	try {
		const first = await caller.sendServiceCall(call);
		const second = await caller.sendServiceCall(call);
		return {
			outcomes: [first.outcome, second.outcome],
			hasSameAnswer: first.text === second.text,
			executions: await countExecutions(fleet),
		};
	} finally {
		await caller.close();
	}
};

const countExecutions = async (fleet: Fleet): Promise<number> => {
	const services = fleet.services.filter(({serves}) => serves === 'work-orders');
	const states = await Promise.all(services.map(async ({id}) => fleet.fetchState(id))) as Array<{executions: Record<string, number>}>;
	return states.flatMap(({executions}) => Object.values(executions)).reduce((sum, count) => sum + count, 0);
};
