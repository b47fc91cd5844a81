import {readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseLists} from '@knapweedrack/protocol';
import {
	CallerClient, startFleet, type Fleet, type ServiceCall,
} from '@knapweedrack/testkit';
import VError from 'verror';
import {z} from 'zod';
import {applyConfiguration} from '../configuration/apply-configuration.js';
import {renderProblems} from '../configuration/read-lists.js';
import {EntryPool} from '../entries/entry-pool.js';
import {PlatformAccess} from '../platform/platform-access.js';
import type {Progress} from '../program/progress.js';
import {
	buildDemoCredential, buildDemoPrompt, createDemoDeployment, demoClasses, demoEngine, type DemoClass,
} from './demo-plan.js';
import {
	summarizeDemo, type ClassResults, type DemoSummary, type WorkOrderResult,
} from './demo-summary.js';

const examplesUrl = new URL('../../../../examples/prairie/', import.meta.url);
const platformTimeoutMs = 5000;
/** Period over which the requests of each class are spread, in ms. */
const loadPeriodMs = 5000;
const ownerPollMs = 250;
const workOrderWorkspace = 'great-plains-shortline';

const applyLists = async (platformAddress: string, lists: {workspaces: string; plans: string}, progress: Progress): Promise<void> => {
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
		async installConfiguration({platformAddress, lists}) {
			await applyLists(platformAddress, lists, progress);
			progress.update('starting engines, services and entries');
		},
	});
};

/** Sends the requests of the demo and summarizes them. */
export const runDemoLoad = async (fleet: Fleet, progress: Progress): Promise<DemoSummary> => {
	await waitUntilServing(fleet, progress);
	progress.update('sending requests');
	const [workOrder, ...classes] = await Promise.all([
		sendWorkOrderTwice(fleet),
		...demoClasses.map(async demoClass => sendClassRequests(fleet, demoClass)),
	]);
	return summarizeDemo(classes, workOrder);
};

/** Waits until every engine has an owner and both models answer. */
export const waitUntilServing = async (fleet: Fleet, progress: Progress): Promise<void> => {
	progress.update('waiting until every engine has an owner that issues permits');
	await waitForOwners(fleet);
	await waitForService(fleet);
};

const createCaller = (fleet: Fleet, workspaceId: string): CallerClient => new CallerClient({
	entries: fleet.entries.map(({address}) => address), credential: buildDemoCredential(workspaceId),
});

const backendServersSchema = z.array(z.object({serverId: z.string(), mode: z.string()}));

/** Waits until every engine has an owner in mode `full`. Ownership moves while entries join, and a new owner limits an engine to the load of a cold one until it knows all open permits. */
const waitForOwners = async (fleet: Fleet): Promise<void> => {
	const pool = new EntryPool(fleet.peerSecret, platformTimeoutMs);
	try {
		while (await countFullOwners(fleet, pool) < fleet.engines.length) {
			await wait(ownerPollMs);
		}
	} finally {
		pool.close();
	}
};

const countFullOwners = async (fleet: Fleet, pool: EntryPool): Promise<number> => {
	const engines = new Set(fleet.engines.map(({id}) => id));
	const answers = await Promise.all(fleet.entries.map(async ({peerAddress}) => pool.getStatus(peerAddress)));
	const servers = answers.flatMap(answer => answer.ok ? backendServersSchema.parse(answer.value.backendServers ?? []) : []);
	return servers.filter(({serverId, mode}) => engines.has(serverId) && mode === 'full').length;
};

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

const sendClassRequests = async (fleet: Fleet, demoClass: DemoClass): Promise<ClassResults> => {
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

const sendWorkOrderTwice = async (fleet: Fleet): Promise<WorkOrderResult> => {
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
