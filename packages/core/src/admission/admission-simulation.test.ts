import process from 'node:process';
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	attemptResults, priorities, type BackendServerProfile, type EngineReport, type Permit, type PermitRequest,
} from '../types/index.js';
import type {AdmissionCommand, AdmissionEvent} from './admission-events.js';
import type {AdmissionOptions} from './admission-options.js';
import {AdmissionPoint} from './admission-point.js';

/** Set to a JSON object of admission options to run the loads with these options and print the measured figures. */
const measureOptions = process.env.MEASURE;
/** An engine step processes a chunk of prefill in order of priority and one token for every running decode. */
const chunkTokens = 512;
const stepBaseMs = 8;
const profile: BackendServerProfile = {
	id: 'engine-1',
	kvTokens: 1_200_000,
	prefillTokensPerSecond: 20_000,
	maxConcurrency: 128,
	coldConcurrency: 128,
	coldPrefillTokens: 1_200_000,
};
/** Prefill tokens per second of the model engine when every chunk is full. */
const capacity = (chunkTokens * 1000) / (stepBaseMs + ((chunkTokens * 1000) / profile.prefillTokensPerSecond));
const messageMs = 2;
const tickMs = 20;
const workspaceCount = 5;
const reportMs = 1000;

type Load = {short: number; long: number};
type Job = {request: PermitRequest; arrivedAt: number; permit?: Permit; prefillLeft: number; decodeLeft: number};
type Figures = {
	shortFirstTokenMs: number[];
	longFirstTokenMs: number[];
	goodTokens: number;
	refused: number;
	late: number;
	completedLong: number;
	decisions: number;
	decisionMs: number;
};

const percentile = (values: number[], share: number): number =>
	values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? Number.NaN;

/** Runs one admission point with a model engine in virtual time; each load is a share of the prefill capacity. */
const runSimulation = (load: Load, durationMs: number, seed: number, options: AdmissionOptions = {}): Figures => {
	const random = xoroshiro128plus(seed);
	const draw = () => uniformFloat64(random);
	const point = new AdmissionPoint(profile, options);
	const figures: Figures = {
		shortFirstTokenMs: [], longFirstTokenMs: [], goodTokens: 0, refused: 0, late: 0, completedLong: 0, decisions: 0, decisionMs: 0,
	};
	const jobs = new Map<string, Job>();
	const permits = new Map<string, Job>();
	let prefilling: Job[] = [];
	let decoding: Job[] = [];
	const events: Array<{at: number; run: (now: number) => void}> = [];
	const schedule = (at: number, run: (now: number) => void) => {
		const index = events.findLastIndex(event => event.at <= at);
		events.splice(index + 1, 0, {at, run});
	};

	const dispatch = (job: Job, permit: Permit, now: number) => {
		job.permit = permit;
		permits.set(permit.permitId, job);
		schedule(now + messageMs, () => {
			prefilling.push(job);
			prefilling.sort((left, right) => left.permit!.enginePriority - right.permit!.enginePriority);
		});
	};

	const apply = (commands: AdmissionCommand[], now: number) => {
		for (const command of commands) {
			const job = command.type === 'grant' ? jobs.get(command.permit.attemptId) : jobs.get(command.attemptId);
			if (job !== undefined && command.type === 'grant') {
				dispatch(job, command.permit, now);
			} else if (command.type === 'refuse') {
				jobs.delete(command.attemptId);
				figures.refused++;
			}
		}
	};

	const send = (event: AdmissionEvent, now: number) => {
		const startedAt = performance.now();
		const commands = point.handle(event, now);
		figures.decisionMs += performance.now() - startedAt;
		figures.decisions++;
		apply(commands, now);
	};

	const finish = (job: Job, now: number) => {
		jobs.delete(job.request.attemptId);
		permits.delete(job.permit!.permitId);
		const isLong = job.request.prefillTokens >= 32_768;
		if (now - job.arrivedAt <= job.request.deadlineInMs) {
			figures.goodTokens += job.request.prefillTokens;
			figures.completedLong += isLong ? 1 : 0;
		} else {
			figures.late++;
		}

		schedule(now + messageMs, at => {
			send({type: 'release', permitId: job.permit!.permitId, result: attemptResults.completed}, at);
		});
	};

	const emitFirstToken = (job: Job, now: number) => {
		(job.request.prefillTokens >= 32_768 ? figures.longFirstTokenMs : figures.shortFirstTokenMs).push(now - job.arrivedAt);
		decoding.push(job);
		schedule(now + messageMs, at => {
			send({type: 'firstToken', permitId: job.permit!.permitId}, at);
		});
	};

	const step = (start: number) => {
		let budget = chunkTokens;
		const started = [...decoding];
		const ready: Job[] = [];
		for (const job of prefilling) {
			const tokens = Math.min(budget, job.prefillLeft);
			job.prefillLeft -= tokens;
			budget -= tokens;
			if (job.prefillLeft === 0) {
				ready.push(job);
			}
		}

		const isIdle = started.length === 0 && prefilling.length === 0;
		const end = start + (isIdle ? 1 : stepBaseMs + (((chunkTokens - budget) * 1000) / profile.prefillTokensPerSecond));
		prefilling = prefilling.filter(job => job.prefillLeft > 0);
		schedule(end, now => {
			for (const job of started) {
				job.decodeLeft--;
			}

			for (const job of started.filter(({decodeLeft}) => decodeLeft === 0)) {
				finish(job, now);
			}

			decoding = decoding.filter(({decodeLeft}) => decodeLeft > 0);
			for (const job of ready) {
				emitFirstToken(job, now);
			}

			step(now);
		});
	};

	let sequence = 0;
	const arrive = (isLong: boolean, now: number) => {
		const prefillTokens = isLong ? 60_000 + Math.floor(draw() * 340_000) : 500 + Math.floor(draw() * 3000);
		const decodeTokens = 20 + Math.floor(draw() * 80);
		const attemptId = `a${++sequence}`;
		const request: PermitRequest = {
			requestId: `r${sequence}`, attemptId, entryId: 'entry-1', serverId: profile.id,
			workspaceId: `w${Math.floor(draw() * workspaceCount)}`, weight: 1, priority: priorities.normal,
			prefillTokens, decodeTokens, kvTokens: prefillTokens + decodeTokens,
			deadlineInMs: isLong ? 300_000 : 15_000, firstTokenInMs: isLong ? 120_000 : 1000, isSuspect: false,
		};
		jobs.set(attemptId, {
			request, arrivedAt: now, prefillLeft: prefillTokens, decodeLeft: decodeTokens,
		});
		send({type: 'request', request}, now);
	};

	const scheduleArrivals = (isLong: boolean, share: number) => {
		const meanTokens = isLong ? 230_000 : 2000;
		const next = (now: number) => now - (Math.log(1 - draw()) * meanTokens * 1000 / (share * capacity));
		const run = (now: number) => {
			arrive(isLong, now);
			schedule(next(now), run);
		};

		if (share > 0) {
			schedule(next(0), run);
		}
	};

	const report = (now: number) => {
		const running = [...permits.values()].map(job => ({
			requestId: job.request.requestId, attemptId: job.request.attemptId, phase: 'decode' as const, kvTokens: job.request.kvTokens,
		}));
		const engineReport: EngineReport = {
			serverId: profile.id, bootId: 'boot-1', state: 'live', profile, kvTokensUsed: 0, running, reservations: [],
		};
		send({type: 'renew', permitIds: [...permits.keys()]}, now);
		send({type: 'report', report: engineReport}, now);
		schedule(now + reportMs, report);
	};

	const tick = (now: number) => {
		send({type: 'tick'}, now);
		schedule(now + tickMs, tick);
	};

	report(0);
	tick(0);
	step(0);
	scheduleArrivals(false, load.short);
	scheduleArrivals(true, load.long);
	for (;;) {
		const event = events.shift()!;
		if (event.at > durationMs) {
			return figures;
		}

		event.run(event.at);
	}
};

const summarize = (name: string, figures: Figures, durationMs: number) => {
	if (measureOptions !== undefined) {
		console.log(name, {
			shortP50: percentile(figures.shortFirstTokenMs, 0.5),
			shortP95: percentile(figures.shortFirstTokenMs, 0.95),
			shortMax: Math.max(...figures.shortFirstTokenMs),
			longP95: percentile(figures.longFirstTokenMs, 0.95),
			longDone: figures.completedLong,
			goodput: figures.goodTokens * 1000 / durationMs / capacity,
			refused: figures.refused,
			late: figures.late,
			microsecondsPerEvent: figures.decisionMs * 1000 / figures.decisions,
			events: figures.decisions,
		});
	}
};

describe('AdmissionPoint with a model engine', () => {
	const durationMs = 600_000;
	const run = (name: string, load: Load) => {
		const figures = runSimulation(load, durationMs, 7, JSON.parse(measureOptions ?? '{}') as AdmissionOptions);
		summarize(name, figures, durationMs);
		return figures;
	};

	// Guards against head-of-line blocking: long prompts must not delay the first token of short ones.
	it('keeps the time to first token of short prompts at 80% load within 1.2 times the value without long prompts', () => {
		const without = run('80% short', {short: 0.8, long: 0});
		const sameShort = run('40% short', {short: 0.4, long: 0});
		const mixed = run('40% short, 40% long', {short: 0.4, long: 0.4});
		expect(percentile(mixed.shortFirstTokenMs, 0.95)).to.be.at.most(1.2 * percentile(without.shortFirstTokenMs, 0.95));
		expect(percentile(mixed.shortFirstTokenMs, 0.95)).to.be.at.most(1.2 * percentile(sameShort.shortFirstTokenMs, 0.95));
		expect(mixed.completedLong).to.be.greaterThan(0);
	});

	// Guards against congestion collapse: under overload, work that ends after its deadline must not use up the capacity.
	it('keeps at least 95% of the goodput of 100% load at 130% load', () => {
		const full = run('100% mixed', {short: 0.6, long: 0.4});
		const over = run('130% mixed', {short: 0.78, long: 0.52});
		expect(over.goodTokens).to.be.at.least(0.95 * full.goodTokens);
		const fullShort = run('100% short', {short: 1, long: 0});
		const overShort = run('130% short', {short: 1.3, long: 0});
		expect(overShort.goodTokens).to.be.at.least(0.95 * fullShort.goodTokens);
	});

	// Guards against starvation: a long prompt must finish although short prompts alone would fill the engine.
	it('finishes long prompts while short prompts offer more than the capacity', () => {
		const figures = run('120% short, 10% long', {short: 1.2, long: 0.1});
		expect(figures.completedLong).to.be.greaterThan(0);
	});
});
