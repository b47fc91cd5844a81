import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	computePromptValue, LoadTable, selectPlacement, type EngineProfile, type Placement, type PlacementCandidate, type PromptDemand, type ServerWork,
} from '@knapweedrack/core';
import {VirtualClock} from '../simulation/virtual-clock.js';
import {ModelledEngine, type EngineTask} from './modelled-engine.js';

/** Interval of the summaries of large fleets, in ms. */
const summaryMs = 200;
/** Interval at which a waiting prompt is placed again, in ms. */
const retryMs = 20;
/** Delay before a rejected request is sent to another engine, in ms. */
const rejectionMs = 5;
const pauseTargetMs = 200;
const drainMs = 15_000;
const msPerSecond = 1000;

/** Engine with 8 slots; speeds as one deployment publishes them. */
export const balanceProfile: EngineProfile = {
	slots: 8, memoryTokens: 450_000, stepMs: 0.925, stepMsPerSequence: 0.007, stepMsPerThousandTokens: 0.002_54, prefillTokensPerMs: 256,
	attentionMsPerMillionPairs: 0.0917, chunkTokens: 2048, stepsPerPass: 46, hopMs: 0.1, meanPromptTokens: 13_000, meanAnswerTokens: 1200,
};

/** What a choice knows when it prepares the candidates of a prompt. */
export type ChoiceContext = {
	entry: number;
	domain: number;
	domains: number;
	/** Requests of other failure domains on a server by the figures of the entry, with the age of these figures in ms. */
	getAged: (serverId: string) => {requests: number; ageMs: number | undefined};
	candidates: readonly PlacementCandidate[];
	profile: EngineProfile;
	random: () => number;
};

/** Prepares candidates for `selectPlacement`. */
export type PrepareCandidates = (context: ChoiceContext) => PlacementCandidate[];

/** How the candidates of short and of long prompts are prepared; undefined for today's choice. */
export type Choice = {short?: PrepareCandidates; long?: PrepareCandidates};

/** Load of a run. */
export type BalanceScenario = {
	entries: number;
	servers: number;
	/** Mean age of the figures of other failure domains, in ms. */
	ageMs: number;
	durationMs: number;
	/** Short prompts per second, and their multiple in the burst, which takes the third quarter of the run. */
	shortPerSecond: number;
	burst: number;
	longPerSecond: number;
	/** Share of all requests that arrive in the first failure domain; undefined for an equal share. */
	hotDomainShare?: number;
	/** Factor by which the first engine is slower than its profile. */
	slowness?: number;
	seed: number;
};

/** Result of a run; the times are those of short prompts. */
export type BalanceResult = {
	busiestToMean: number;
	p95Ms: number;
	short: number;
	lateShort: number;
	long: number;
	lateLong: number;
	/** Requests that an engine rejected, by whether another engine had a free slot. */
	collisions: number;
	rejectedWithoutRoom: number;
	/** Streams that paused longer than their target, counted by pass. */
	latePauses: number;
	arrivals: number[];
};

type Request = {demand: PromptDemand; entry: number; domain: number; arrivedAt: number; isShort: boolean; excluded: Set<number>};

/** Runs a fleet in virtual time, in which all entries place prompts with one choice. */
export const runBalance = (scenario: BalanceScenario, choice: Choice, profile = balanceProfile): BalanceResult => new BalanceRun(scenario, choice, profile).run();

class BalanceRun {
	readonly #clock = new VirtualClock();
	/** Random numbers of the arrivals, which are the same for all choices. */
	readonly #arrivalRandom: () => number;
	readonly #random: () => number;
	readonly #engines: ModelledEngine[];
	readonly #ids: string[];
	/** One table for each failure domain, because its entries report to each other at once. */
	readonly #tables: LoadTable[];
	readonly #firstTokensMs: number[] = [];
	readonly #result: BalanceResult;

	constructor(private readonly scenario: BalanceScenario, private readonly choice: Choice, private readonly profile: EngineProfile) {
		const {entries, servers, seed} = scenario;
		const [arrivals, others] = [xoroshiro128plus(seed), xoroshiro128plus(seed + 1000)];
		this.#arrivalRandom = () => uniformFloat64(arrivals);
		this.#random = () => uniformFloat64(others);
		this.#engines = Array.from({length: servers}, () => new ModelledEngine(profile, this.#clock, pauseTargetMs));
		this.#engines[0]!.slowness = scenario.slowness ?? 1;
		this.#ids = this.#engines.map((_, index) => `s${index + 100}`);
		this.#tables = Array.from({length: entries > 12 ? 3 : entries}, () => new LoadTable());
		this.#result = {
			busiestToMean: 0, p95Ms: 0, short: 0, lateShort: 0, long: 0, lateLong: 0, collisions: 0, rejectedWithoutRoom: 0, latePauses: 0,
			arrivals: this.#engines.map(() => 0),
		};
	}

	run(): BalanceResult {
		const {durationMs, shortPerSecond, longPerSecond, burst} = this.scenario;
		this.#scheduleReports();
		const isBurst = (at: number): boolean => at >= durationMs / 2 && at < durationMs * 0.75;
		this.#scheduleArrivals(at => shortPerSecond * (isBurst(at) ? burst : 1), true);
		this.#scheduleArrivals(() => longPerSecond, false);
		this.#clock.run(durationMs + drainMs, () => false);
		const result = this.#result;
		const {arrivals} = result;
		const mean = arrivals.reduce((sum, count) => sum + count, 0) / arrivals.length;
		const sorted = this.#firstTokensMs.toSorted((a, b) => a - b);
		result.busiestToMean = Math.max(...arrivals) / mean;
		result.p95Ms = sorted[Math.floor(sorted.length * 0.95)] ?? 0;
		result.latePauses = this.#engines.reduce((sum, engine) => sum + engine.latePauses, 0);
		return result;
	}

	/** Sends each domain's loads to the others at an interval of at most `summaryMs`, delayed so that they have the mean age of the scenario. */
	#scheduleReports(): void {
		const {ageMs} = this.scenario;
		const intervalMs = Math.min(summaryMs, ageMs);
		for (const [domain, table] of this.#tables.entries()) {
			this.#clock.scheduleEvery(intervalMs, () => {
				const takenAt = this.#clock.now;
				const loads = this.#ids.map(id => ({id, load: {...table.computeOwnLoad(id, takenAt), prefills: []}}));
				this.#clock.scheduleIn(ageMs - (intervalMs / 2), () => {
					for (const other of this.#tables.filter(candidate => candidate !== table)) {
						for (const {id, load} of loads) {
							other.setDomainLoad(String(domain), id, load, takenAt);
						}
					}
				});
			}, intervalMs * ((domain + 1) / this.#tables.length));
		}
	}

	#scheduleArrivals(getRate: (at: number) => number, isShort: boolean): void {
		const scheduleNext = (): void => {
			const rate = getRate(this.#clock.now);
			if (rate === 0 || this.#clock.now > this.scenario.durationMs) {
				return;
			}

			this.#clock.scheduleIn(-Math.log(1 - this.#arrivalRandom()) / rate * msPerSecond, () => {
				this.#place(this.#buildRequest(isShort));
				scheduleNext();
			});
		};

		scheduleNext();
	}

	#buildRequest(isShort: boolean): Request {
		const domains = this.#tables.length;
		const {entries, hotDomainShare = 1 / domains} = this.scenario;
		const domain = this.#arrivalRandom() < hotDomainShare ? 0 : 1 + Math.floor(this.#arrivalRandom() * (domains - 1));
		const entry = domain + (domains * Math.floor(this.#arrivalRandom() * Math.floor(entries / domains)));
		const scatter = 0.4 + (1.2 * this.#arrivalRandom());
		const {meanPromptTokens, meanAnswerTokens} = this.profile;
		const demand = isShort
			? {promptTokens: meanPromptTokens * scatter * 0.5, outputTokens: meanAnswerTokens * scatter, targetMs: 300}
			: {promptTokens: meanPromptTokens * scatter * 8, outputTokens: meanAnswerTokens * 0.5, targetMs: 1500};
		this.#result[isShort ? 'short' : 'long']++;
		return {
			demand: {
				...demand, waitedMs: 0, deadlineMs: 15_000, hasBegun: false,
			},
			entry, domain, arrivedAt: this.#clock.now, isShort, excluded: new Set(),
		};
	}

	#place(request: Request): void {
		const {now} = this.#clock;
		const {domain, entry, excluded, isShort} = request;
		const waitedMs = now - request.arrivedAt;
		const demand = {...request.demand, waitedMs, deadlineMs: request.demand.deadlineMs - waitedMs};
		const all = this.#ids
			.map((id): PlacementCandidate => ({
				id, load: this.#tables[domain]!.computeLoad(id, now), penaltyMs: 0, orderShift: this.#random(),
			}))
			.filter((_, index) => !excluded.has(index));
		const candidates = (isShort ? this.choice.short : this.choice.long)?.({
			entry, domain, domains: this.#tables.length, candidates: all, profile: this.profile, random: this.#random,
			getAged: id => this.#tables[domain]!.computeDomainRequests(id, now),
		}) ?? all;
		const decision = selectPlacement(this.profile, candidates, demand);
		if (decision.type === 'place') {
			this.#send(request, demand, decision.placement);
		} else if (decision.type === 'wait') {
			this.#clock.scheduleIn(retryMs, () => {
				this.#place(request);
			});
		} else {
			this.#recordFirstToken(request, Number.POSITIVE_INFINITY);
		}
	}

	#send(request: Request, demand: PromptDemand, placement: Placement): void {
		const {now} = this.#clock;
		const table = this.#tables[request.domain]!;
		const primary = this.#ids.indexOf(placement.serverId);
		this.#result.arrivals[primary]!++;
		const engine = this.#engines[primary]!;
		let missing = placement.helperIds.length + 1;
		const work: ServerWork = {
			prefillTokens: placement.part.tokens, prefillMs: placement.part.prefillMs, memoryTokens: demand.promptTokens + demand.outputTokens,
			contextTokens: demand.promptTokens, sentAt: now, firstTokenAt: now + placement.firstTokenMs, isDecoding: false, isHelperPart: false,
			pauseTargetMs, targetMs: demand.targetMs, value: computePromptValue(demand),
		};
		const key = table.add(placement.serverId, work);
		const task = this.#buildTask(placement, {
			contextTokens: demand.promptTokens,
			outputTokens: demand.outputTokens,
			notifyPrefilled() {
				notifyPart();
			},
			notifyEnded() {
				table.remove(placement.serverId, key);
			},
		});
		const notifyPart = (): void => {
			missing--;
			if (missing === 0) {
				table.setDecoding(placement.serverId, key);
				this.#recordFirstToken(request, this.#clock.now - request.arrivedAt);
				engine.startDecoding(task);
			}
		};

		if (!engine.accept(task)) {
			table.remove(placement.serverId, key);
			this.#result[this.#engines.some(({requests}) => requests < this.profile.slots) ? 'collisions' : 'rejectedWithoutRoom']++;
			request.excluded.add(primary);
			this.#clock.scheduleIn(rejectionMs, () => {
				this.#place(request);
			});
			return;
		}

		for (const id of placement.helperIds) {
			const helperKey = table.add(id, {
				...work, memoryTokens: 0, contextTokens: 0, isHelperPart: true,
			});
			this.#engines[this.#ids.indexOf(id)]!.accept(this.#buildTask(placement, {
				isHelperPart: true,
				notifyPrefilled() {
					table.remove(id, helperKey);
					notifyPart();
				},
			}));
		}
	}

	#buildTask({part}: Placement, changes: Partial<EngineTask>): EngineTask {
		return {
			prefillTokens: part.tokens, prefillMs: part.prefillMs, contextTokens: 0, outputTokens: 0, isHelperPart: false,
			notifyPrefilled: () => undefined, notifyEnded: () => undefined, ...changes,
		};
	}

	#recordFirstToken({isShort, demand}: Request, firstTokenMs: number): void {
		if (isShort) {
			this.#firstTokensMs.push(firstTokenMs);
		}

		if (firstTokenMs > demand.targetMs) {
			this.#result[isShort ? 'lateShort' : 'lateLong']++;
		}
	}
}
