import {BaselinePolicy, type BaselineName} from './baseline-policy.js';
import {CorePolicy, type CorePolicyOptions} from './core-policy.js';
import type {TraceRequest} from './load-trace.js';
import type {SimulatedDeployment} from './simulated-deployment.js';
import {
	availabilityLagMs, SimulationWorld, type Policy, type RequestEnd, type RequestResult,
} from './simulation-world.js';
import type {SimulatedServer} from './simulated-server.js';
import {VirtualClock} from './virtual-clock.js';

/** Name of a policy: `core` for the decisions of the core, or a baseline. */
export type PolicyName = 'core' | BaselineName;

/** Scheduled event of a run; `at` is in ms since the start of the trace. */
export type SimulationEvent =
	| {at: number; type: 'domain'; failureDomain: string; isInService: boolean}
	/** All servers, or only the one with the given number (from 1), become cold and lose their work; after a crash they are also down for a while. */
	| {at: number; type: 'cold' | 'crash'; server?: number | undefined};

/** Parameters of one run. */
export type SimulationOptions = {
	deployment: SimulatedDeployment;
	policy: PolicyName;
	trace: readonly TraceRequest[];
	seed: number;
	events?: readonly SimulationEvent[];
	core?: CorePolicyOptions;
};

/** Result of one run; times in ms since the start of the trace. */
export type SimulationResult = {
	results: RequestResult[];
	/** Number of crashes of cold engines that were sent more work than they could take. */
	crashes: number;
	/** For each event, the time of the last work submitted before it, by failure domain. */
	lastSubmits: Array<{event: SimulationEvent; byDomain: Record<string, number>}>;
	durationMs: number;
};

/** Time in ms between the start of the policy and the start of the trace, so that the first status reports have arrived. */
const leadTimeMs = 1000;
/** Time in ms for which callers cache the list of entries. */
const entryListLifetimeMs = 2000;

const createPolicy = (world: SimulationWorld, {policy, seed, core}: SimulationOptions): Policy => policy === 'core'
	? new CorePolicy(world, seed, core)
	: new BaselinePolicy(world, policy, seed);

/** Runs one trace in virtual time. */
class Simulation {
	readonly #clock = new VirtualClock();
	readonly #world: SimulationWorld;
	readonly #policy: Policy;
	readonly #results: RequestResult[] = [];
	readonly #lastSubmits: SimulationResult['lastSubmits'] = [];
	/** Failure domains whose entries callers no longer use. */
	readonly #avoidedDomains = new Set<string>();

	constructor(private readonly options: SimulationOptions) {
		this.#world = new SimulationWorld(options.deployment, this.#clock);
		this.#policy = createPolicy(this.#world, options);
	}

	run(): SimulationResult {
		for (const server of this.#world.servers) {
			server.resetToWarm();
		}

		this.#policy.start();
		for (const request of this.options.trace) {
			this.#clock.schedule(leadTimeMs + request.at, () => {
				this.#sendRequest({...request, at: leadTimeMs + request.at});
			});
		}

		for (const event of this.options.events ?? []) {
			this.#clock.schedule(leadTimeMs + event.at, () => {
				this.#applyEvent(event);
			});
		}

		this.#clock.run(Infinity, () => this.#results.length === this.options.trace.length);
		return {
			results: this.#results,
			crashes: this.#world.servers.reduce((sum, {crashes}) => sum + crashes, 0),
			lastSubmits: this.#lastSubmits,
			durationMs: this.#clock.now - leadTimeMs,
		};
	}

	#sendRequest(request: TraceRequest): void {
		const {fromCallerMs} = this.options.deployment.delays;
		const usable = this.#world.entries.map(({failureDomain}, index) => ({failureDomain, index}))
			.filter(({failureDomain}) => !this.#avoidedDomains.has(failureDomain));
		const {index} = usable[Math.floor(request.entryDraw * usable.length)]!;
		const result: Omit<RequestResult, 'end'> = {request: {...request, at: request.at - leadTimeMs}, attempts: 0, endMs: 0};
		const observer = {
			recordAttempt() {
				result.attempts++;
			},
			recordFirstToken: () => {
				result.firstTokenMs ??= this.#clock.now - request.at + fromCallerMs;
			},
			recordEnd: (end: RequestEnd) => {
				result.endMs = this.#clock.now - request.at + fromCallerMs;
				this.#results.push({...result, end});
			},
		};
		this.#clock.scheduleIn(fromCallerMs, () => {
			this.#policy.handle(request, index, observer);
		});
	}

	#applyEvent(event: SimulationEvent): void {
		this.#recordLastSubmits(event);
		if (event.type !== 'domain') {
			const {server: serverNumber} = event;
			for (const server of this.#world.servers.filter((_, index) => serverNumber === undefined || index === serverNumber - 1)) {
				server.resetToCold(event.type === 'crash');
			}

			return;
		}

		this.#policy.setDomainInService(event.failureDomain, event.isInService);
		this.#clock.scheduleIn(availabilityLagMs + entryListLifetimeMs, () => {
			if (event.isInService) {
				this.#avoidedDomains.delete(event.failureDomain);
			} else {
				this.#avoidedDomains.add(event.failureDomain);
			}
		});
	}

	#recordLastSubmits(event: SimulationEvent): void {
		const byDomain: Record<string, number> = {};
		for (const {failureDomain, lastSubmittedAt} of this.#world.servers) {
			byDomain[failureDomain] = Math.max(byDomain[failureDomain] ?? -Infinity, lastSubmittedAt - leadTimeMs);
		}

		this.#lastSubmits.push({event, byDomain});
	}
}

/** Runs a trace until every request has ended. */
export const runSimulation = (options: SimulationOptions): SimulationResult => new Simulation(options).run();
