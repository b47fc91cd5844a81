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

/** Deployment to start, and options of its processes. */
export type FleetOptions = {
	deployment: DeploymentInput;
	/** Writes the lists into the object API as `config/chunks/HASH` and `config/manifest`. */
	installConfiguration: (context: {platformAddress: string; lists: Deployment['lists']}) => Promise<void>;
	platform?: Partial<PlatformOptions> | undefined;
	/** Options of all engines. */
	engine?: Partial<EngineOptions> | undefined;
	/** Options of the engines by model; they override `engine`. */
	engineByModel?: Readonly<Record<string, Partial<EngineOptions>>> | undefined;
	service?: Partial<ServiceOptions> | undefined;
	/** Module specifier or URL of the entries' program; the product's entry by default. */
	entryModule?: string | undefined;
	/** `host:port` to which entries send metrics over UDP. */
	metrics?: string | undefined;
	/** Grace period of the entries in ms. */
	gracePeriodMs?: number | undefined;
	/** Environment variables of all processes, for example `DEBUG`. */
	env?: Readonly<Record<string, string>> | undefined;
};

/** Instance of a fleet, with its addresses and its process. */
export type FleetMember = PlannedInstance & {
	/** `host:port` of the listener for callers. */
	address: string;
	/** `host:port` of the listener for other entries; empty for engines and services. */
	peerAddress: string;
	/** Undefined while no process runs. */
	process: ManagedProcess | undefined;
};

type MemberPlan = {member: FleetMember; module: string; args: string[]};

const platformId = 'platform';
const platformModule = '@knapweedrack/testkit/platform-main';
const defaultEntryModule = '@knapweedrack/entry/main';
/** Longer than the timeout for a single process, because all processes of a fleet compile their sources at the same time. */
const fleetReadyTimeoutMs = 60_000;
const defaultGracePeriodMs = 10_000;
const peerSecret = 'fleet-peer-secret';

/** Starts a platform, backend servers and entries as processes; `close` of the fleet ends all of them. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const fleet = new Fleet(options, await mkdtemp(join(tmpdir(), 'knapweedrack-fleet-')));
	try {
		await fleet.start();
		return fleet;
	} catch (error) {
		await fleet.close();
		throw new VError(error as Error, 'failed to start the fleet');
	}
};

/** Processes of one deployment, all on the loopback interface of this machine. */
export class Fleet {
	readonly group = new ProcessGroup();
	/** Secret with which peers and operators authenticate to the entries. */
	readonly peerSecret = peerSecret;
	readonly deployment: Deployment;
	readonly #plans = new Map<string, MemberPlan>();
	#platformAddress = '';

	/** Takes ownership of `folder`, a temporary folder that `close` removes. */
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

	/** Starts the platform, installs the configuration, then starts the backend servers and last the entries. Called by `startFleet`. */
	async start(): Promise<void> {
		await this.#startPlatform();
		await this.options.installConfiguration({platformAddress: this.#platformAddress, lists: this.deployment.lists});
		await this.#createPlans();
		await Promise.all([...this.engines, ...this.services].map(async ({id}) => this.startMember(id)));
		await Promise.all(this.entries.map(async ({id}) => this.startMember(id)));
	}

	/** Starts a member at its address and adds it to the instance list as live; the address is the same after a restart. */
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

	/** Kills a member with SIGKILL; the instance list still shows it until `removeInstance`. */
	async closeMember(id: string): Promise<void> {
		await this.group.close(this.#getPlan(id).member.id);
	}

	/** Stops a member with SIGTERM and kills it after the timeout in ms. */
	async stopMember(id: string, timeoutMs?: number): Promise<void> {
		await this.group.stop(this.#getPlan(id).member.id, timeoutMs);
	}

	/** Freezes (SIGSTOP) or continues a member or the platform. */
	setFrozen(id: string, isFrozen: boolean): void {
		this.group.setFrozen(id, isFrozen);
	}

	/** Sets the state of a member in the instance list; readers see the change after the list's lag. */
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

	/** Removes all faults of a stand-in. */
	async removeFaults(id: string): Promise<void> {
		await sendToStandIn('DELETE', this.#getAddress(id), '/testkit/faults');
	}

	/** Fetches the internal state of a stand-in from `/testkit/state`, without the lag of its reports. */
	async fetchState(id: string): Promise<unknown> {
		return sendToStandIn('GET', this.#getAddress(id), '/testkit/state');
	}

	/** Kills all processes and removes the temporary folder. */
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
			throw new VError('the fleet has no member with id %s', id);
		}

		return plan;
	}

	#getAddress(id: string): string {
		return id === platformId ? this.#platformAddress : this.#getPlan(id).member.address;
	}
}

/** Sends a request to a stand-in and returns its decoded JSON answer; throws on any status but 200. */
const sendToStandIn = async (method: 'GET' | 'POST' | 'PUT' | 'DELETE', address: string, path: string, body?: unknown): Promise<unknown> => {
	const {statusCode, body: answer} = await sendRequest(`http://${address}${path}`, {
		method,
		...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
	});
	const text = await answer.text();
	if (statusCode !== 200) {
		throw new VError('%s %s at %s failed with status %d: %s', method, path, address, statusCode, text);
	}

	return JSON.parse(text) as unknown;
};
