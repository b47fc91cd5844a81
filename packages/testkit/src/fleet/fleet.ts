import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {ListedInstance} from '@knapweedrack/protocol';
import {request as sendRequest} from 'undici';
import VError from 'verror';
import {stringify} from 'yaml';
import type {EngineOptions} from '../engine/engine-options.js';
import {loopbackHost} from '../http/listener.js';
import type {PlatformOptions} from '../platform/platform.js';
import {ProcessGroup, type ManagedProcess} from '../process-group/process-group.js';
import type {ServiceOptions} from '../service/service.js';
import {
	deploymentSchema, listPlannedInstances, type Deployment, type DeploymentInput, type PlannedInstance,
} from './deployment.js';
import {findFreePorts} from './free-ports.js';
import {buildFlags} from './flags.js';

/** Options of a fleet. */
export type FleetOptions = {
	deployment: DeploymentInput;
	/** Writes the lists into the object API as `config/chunks/HASH` and `config/manifest`. */
	installConfiguration: (context: {platformAddress: string; lists: Deployment['lists']}) => Promise<void>;
	platform?: Partial<PlatformOptions> | undefined;
	/** Options of all engines. */
	engine?: Partial<EngineOptions> | undefined;
	/** Further options of the engines of one model. */
	engineByModel?: Readonly<Record<string, Partial<EngineOptions>>> | undefined;
	service?: Partial<ServiceOptions> | undefined;
	/** Program of the entries. */
	entryModule?: string | undefined;
	/** `host:port` to which entries send metrics over UDP. */
	metrics?: string | undefined;
	/** Grace period of the entries in ms. */
	gracePeriodMs?: number | undefined;
	/** Environment of all processes, for example `DEBUG`. */
	env?: Readonly<Record<string, string>> | undefined;
};

/** One instance of a fleet. */
export type FleetMember = PlannedInstance & {
	/** Listener for callers. */
	address: string;
	/** Listener for other entries; empty for engines and services. */
	peerAddress: string;
	/** Present while the process runs. */
	process: ManagedProcess | undefined;
};

type MemberPlan = {member: FleetMember; module: string; args: string[]};

const platformId = 'platform';
const platformModule = '@knapweedrack/testkit/platform-main';
const defaultEntryModule = '@knapweedrack/entry/main';
/** Longer than for one process, because all processes of a fleet compile their sources at the same time. */
const fleetReadyTimeoutMs = 60_000;
const defaultGracePeriodMs = 10_000;
const peerSecret = 'fleet-peer-secret';

/** Starts a platform, backend servers and entries as processes; everything ends with `close`. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const fleet = new Fleet(options, await mkdtemp(join(tmpdir(), 'knapweedrack-fleet-')));
	try {
		await fleet.start();
		return fleet;
	} catch (error) {
		await fleet.close();
		throw new VError(error as Error, 'the fleet could not be started');
	}
};

/** Processes of one deployment on this machine. */
export class Fleet {
	readonly group = new ProcessGroup();
	/** Secret with which the entries accept each other and operators. */
	readonly peerSecret = peerSecret;
	readonly deployment: Deployment;
	readonly #plans = new Map<string, MemberPlan>();
	#platformAddress = '';

	/** `folder` is a temporary folder that is removed on close. */
	constructor(readonly options: FleetOptions, readonly folder: string) {
		this.deployment = deploymentSchema.parse(options.deployment);
	}

	get platformAddress(): string {
		return this.#platformAddress;
	}

	get members(): FleetMember[] {
		return [...this.#plans.values()].map(({member}) => member);
	}

	get engines(): FleetMember[] {
		return this.members.filter(({kind}) => kind === 'engine');
	}

	get services(): FleetMember[] {
		return this.members.filter(({kind}) => kind === 'service');
	}

	get entries(): FleetMember[] {
		return this.members.filter(({kind}) => kind === 'entry');
	}

	/** Called by `startFleet`: starts everything in order of dependence. */
	async start(): Promise<void> {
		await this.#startPlatform();
		await this.options.installConfiguration({platformAddress: this.#platformAddress, lists: this.deployment.lists});
		await this.#createPlans();
		await Promise.all([...this.engines, ...this.services].map(async ({id}) => this.startMember(id)));
		await Promise.all(this.entries.map(async ({id}) => this.startMember(id)));
	}

	/** Starts a member at its address and lists it as live. */
	async startMember(id: string): Promise<FleetMember> {
		const {member, module, args} = this.#getPlan(id);
		const managed = await this.group.start({
			id, module, args, env: this.options.env, readyTimeoutMs: fleetReadyTimeoutMs,
		});
		member.process = managed;
		void this.#removeProcessOnExit(member, managed);
		await this.setInstanceState(id, 'live');
		return member;
	}

	/** Kills a member; the instance list still shows it until `removeInstance`. */
	async closeMember(id: string): Promise<void> {
		await this.group.close(this.#getPlan(id).member.id);
	}

	/** Stops a member gracefully, killing it after the timeout in ms. */
	async stopMember(id: string, timeoutMs?: number): Promise<void> {
		await this.group.stop(this.#getPlan(id).member.id, timeoutMs);
	}

	/** Freezes or continues a member or the platform. */
	setFrozen(id: string, isFrozen: boolean): void {
		this.group.setFrozen(id, isFrozen);
	}

	/** Writes a member into the instance list; it is shown there with the list's lag. */
	async setInstanceState(id: string, state: ListedInstance['state']): Promise<void> {
		const {kind, failureDomain, serves, address} = this.#getPlan(id).member;
		await this.#sendToPlatform('PUT', `/testkit/instances/${id}`, {
			id, address, kind, failureDomain, serves, state,
		} satisfies ListedInstance);
	}

	/** Removes a member from the instance list. */
	async removeInstance(id: string): Promise<void> {
		await this.#sendToPlatform('DELETE', `/testkit/instances/${id}`);
	}

	/** Adds a fault to a stand-in; `platform` is the id of the platform. */
	async addFault(id: string, fault: Record<string, unknown>): Promise<void> {
		await sendToStandIn('POST', this.#getAddress(id), '/testkit/faults', fault);
	}

	/** Ends all faults of a stand-in. */
	async removeFaults(id: string): Promise<void> {
		await sendToStandIn('DELETE', this.#getAddress(id), '/testkit/faults');
	}

	/** State of a stand-in without lag; see `docs/testkit.md`. */
	async fetchState(id: string): Promise<unknown> {
		return sendToStandIn('GET', this.#getAddress(id), '/testkit/state');
	}

	/** Ends all processes and removes the temporary folder. */
	async close(): Promise<void> {
		await this.group.closeAll();
		await rm(this.folder, {recursive: true, force: true});
	}

	async #startPlatform(): Promise<void> {
		const {ready} = await this.group.start({
			id: platformId, module: platformModule, args: buildFlags(this.options.platform ?? {}), env: this.options.env, readyTimeoutMs: fleetReadyTimeoutMs,
		});
		this.#platformAddress = ready.address ?? '';
	}

	async #createPlans(): Promise<void> {
		const instances = listPlannedInstances(this.deployment);
		const ports = await findFreePorts(instances.length * 2);
		const members = instances.map((instance, index): FleetMember => ({
			...instance,
			address: `${loopbackHost}:${ports[index * 2]}`,
			peerAddress: instance.kind === 'entry' ? `${loopbackHost}:${ports[(index * 2) + 1]}` : '',
			process: undefined,
		}));
		for (const member of members) {
			this.#plans.set(member.id, await this.#createPlan(member, members));
		}
	}

	async #createPlan(member: FleetMember, members: readonly FleetMember[]): Promise<MemberPlan> {
		const port = Number(member.address.split(':')[1]);
		if (member.kind === 'entry') {
			return {
				member,
				module: this.options.entryModule ?? defaultEntryModule,
				args: ['--settings', await this.#writeSettings(member, members)],
			};
		}

		if (member.kind === 'service') {
			return {member, module: '@knapweedrack/testkit/service-main', args: buildFlags({...this.options.service, name: member.serves, port})};
		}

		const engineOptions: Partial<EngineOptions> = {
			platform: this.#platformAddress,
			...this.options.engine,
			...this.options.engineByModel?.[member.serves],
			model: member.serves,
			serverId: member.id,
			port,
		};
		return {member, module: '@knapweedrack/testkit/engine-main', args: buildFlags(engineOptions)};
	}

	/** Writes the settings file of an entry and returns its path. */
	async #writeSettings(member: FleetMember, members: readonly FleetMember[]): Promise<string> {
		const path = join(this.folder, `${member.id}.yaml`);
		await writeFile(path, stringify({
			entryId: member.id,
			failureDomain: member.failureDomain,
			region: member.region,
			callerListener: member.address,
			peerListener: member.peerAddress,
			platform: this.#platformAddress,
			seedPeers: members.filter(({id, kind}) => kind === 'entry' && id !== member.id).map(({peerAddress}) => peerAddress),
			peerSecrets: {current: peerSecret, accepted: [peerSecret]},
			...(this.options.metrics === undefined ? {} : {metrics: this.options.metrics}),
			gracePeriodMs: this.options.gracePeriodMs ?? defaultGracePeriodMs,
		}));
		return path;
	}

	async #removeProcessOnExit(member: FleetMember, managed: ManagedProcess): Promise<void> {
		await managed.exit;
		if (member.process === managed) {
			member.process = undefined;
		}
	}

	async #sendToPlatform(method: 'PUT' | 'DELETE', path: string, body?: unknown): Promise<void> {
		await sendToStandIn(method, this.#platformAddress, path, body);
	}

	#getPlan(id: string): MemberPlan {
		const plan = this.#plans.get(id);
		if (!plan) {
			throw new VError('the fleet has no member %s', id);
		}

		return plan;
	}

	#getAddress(id: string): string {
		return id === platformId ? this.#platformAddress : this.#getPlan(id).member.address;
	}
}

// The values are the parts of an HTTP request line and its body.

const sendToStandIn = async (method: 'GET' | 'POST' | 'PUT' | 'DELETE', address: string, path: string, body?: unknown): Promise<unknown> => {
	const {statusCode, body: answer} = await sendRequest(`http://${address}${path}`, {
		method,
		...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
	});
	const text = await answer.text();
	if (statusCode !== 200) {
		throw new VError('%s %s of %s failed with status %d: %s', method, path, address, statusCode, text);
	}

	return JSON.parse(text) as unknown;
};
