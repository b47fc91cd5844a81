import {expect} from 'chai';
import fc from 'fast-check';
import type {Plan} from '../types/configuration.js';
import {outcomeKinds, refusalReasons} from '../types/reasons.js';
import {buildDayReport, listCoverageGaps, mergeSummaries} from './day-report.js';
import {
	computeLengthClass, MinuteCollector, readFirstTokenHistogram, splitSummary, type MinuteSummary, type RequestFacts,
} from './minute-summary.js';

const minuteMs = 60_000;

const facts: fc.Arbitrary<RequestFacts> = fc.record({
	workspaceId: fc.constantFrom('w1', 'w2', '__proto__'),
	promptTokens: fc.integer({min: 0, max: 1_000_000}),
	outcome: fc.constantFrom(...Object.values(outcomeKinds)),
	reason: fc.option(fc.constantFrom(...Object.values(refusalReasons)), {nil: undefined}),
	firstTokenMs: fc.option(fc.double({min: 0, max: 4_000_000, noNaN: true}), {nil: undefined}),
	firstTokenTargetMs: fc.option(fc.constant(500), {nil: undefined}),
	isLate: fc.boolean(),
});

const buildSummary = (requests: RequestFacts[], sequence: number, isLast = false): MinuteSummary => {
	const collector = new MinuteCollector();
	for (const request of requests) {
		collector.record(request);
	}

	const text = JSON.stringify(collector.close({
		entryId: 'e', epoch: '1', sequence, from: sequence * minuteMs, to: (sequence + 1) * minuteMs, isLast,
	}));
	return JSON.parse(text) as MinuteSummary;
};

describe('mergeSummaries', () => {
	// Guards against requests that are counted twice, for example after a repeated write, or lost in the merge.
	it('counts every request once for any order and duplicates of summaries', () => {
		fc.assert(fc.property(fc.array(fc.array(facts, {maxLength: 15}), {maxLength: 6}), fc.infiniteStream(fc.nat(5)), (minutes, order) => {
			const summaries = minutes.map((requests, sequence) => buildSummary(requests, sequence));
			const repeats = summaries.length === 0 ? [] : [...order.take(4)].map(index => summaries[index % summaries.length]!);
			const merged = mergeSummaries([...repeats, ...summaries.toReversed()]);
			const expected = mergeSummaries([buildSummary(minutes.flat(), 0)]);
			expect([...merged.keys()].sort()).to.deep.equal([...expected.keys()].sort());
			for (const [workspaceId, counters] of expected) {
				const {classes, ...counts} = merged.get(workspaceId)!;
				const {classes: expectedClasses, ...expectedCounts} = counters;
				expect(counts).to.deep.equal(expectedCounts);
				expect(Object.keys(classes)).to.have.members(Object.keys(expectedClasses));
				for (const [lengthClass, expectedClass] of Object.entries(expectedClasses)) {
					const other = classes[lengthClass]!;
					expect({...other, firstToken: undefined}).to.deep.equal({...expectedClass, firstToken: undefined});
					const histogram = readFirstTokenHistogram(other);
					expect(histogram?.totalCount).to.equal(readFirstTokenHistogram(expectedClass)?.totalCount);
					expect(histogram?.getValueAtPercentile(50)).to.equal(readFirstTokenHistogram(expectedClass)?.getValueAtPercentile(50));
				}
			}
		}), {seed: 20, numRuns: 300});
	});
});

describe('buildDayReport', () => {
	const plan = {id: 'p', firstTokenTargets: [{upToTokens: 4000, targetMs: 500}, {targetMs: 9000}]} as unknown as Plan;
	const workspaces = [{
		id: 'w1', plan: 'p', fleet: 'f', credentialDigests: [],
	}];
	const good: RequestFacts = {
		workspaceId: 'w1', promptTokens: 2000, outcome: 'completed', firstTokenMs: 200, firstTokenTargetMs: 500, isLate: false,
	};
	const build = (summaries: MinuteSummary[]) => buildDayReport({
		day: '2026-12-04', from: 0, to: 3 * minuteMs, summaries, workspaces, plans: [plan],
	});

	// Guards against a report that calls a day good although requests of a workspace failed or part of the day has no figures.
	it('states first whether the day went well', () => {
		const covered = [buildSummary([good], 0), buildSummary([good], 1), buildSummary([good], 2)];
		expect(build(covered).sentence).to.equal('2026-12-04 went well for all 1 workspaces.');
		expect(build(covered).rows[0]!.classes[0]).to.deep.include({requests: 3, inTimeShare: 1, targetsMs: [500]});
		const longer = build([buildSummary([{...good, promptTokens: 5000}], 0)]);
		expect(longer.rows[0]!.classes[0]).to.deep.include({lengthClass: 1, targetsMs: [9000]});
		const missed = buildSummary([{...good, outcome: 'failed', reason: 'backend_failed'}], 1);
		expect(build([covered[0]!, missed, covered[2]!]).sentence).to.match(/did not go well for 1 of 1 workspaces \(w1\)/v);
		const limited = buildSummary([good, {...good, outcome: 'not_run', reason: 'request_rate_exceeded'}], 1);
		expect(build([covered[0]!, limited, covered[2]!]).wentWell).to.equal(true);
		expect(build([covered[0]!, covered[2]!])).to.deep.include({
			wentWell: false, gaps: [{
				entryId: 'e', epoch: '1', from: minuteMs, to: 2 * minuteMs,
			}],
		});
		expect(build([]).sentence).to.match(/not certain/v);
	});

	// Guards against a crash of an entry that counts as a period without requests, and against a planned stop that counts as a crash.
	it('reports the time after a crash as a gap', () => {
		const input = {from: 0, to: 3 * minuteMs, summaries: [buildSummary([good], 0)]};
		expect(listCoverageGaps(input)).to.have.length(1);
		expect(listCoverageGaps({...input, summaries: [buildSummary([good], 0, true)]})).to.have.length(0);
		expect(listCoverageGaps({...input, summaries: [], sessions: [{entryId: 'e', epoch: '1', from: minuteMs}]}))
			.to.deep.equal([{
				entryId: 'e', epoch: '1', from: minuteMs, to: 3 * minuteMs,
			}]);
	});
});

describe('listCoverageGaps', () => {
	const input = {from: 0, to: 10 * minuteMs};
	const buildEmptySummary = (sequence: number, isLast = false) => buildSummary([], sequence, isLast);

	// Guards against a gap that continues to the end of the day although the entry was restarted.
	it('ends the gap after a crash at the start of the next epoch', () => {
		const restarted = {
			...buildEmptySummary(4), epoch: '2', sequence: 0, to: input.to,
		};
		expect(listCoverageGaps({...input, summaries: [buildEmptySummary(0), restarted]})).to.deep.equal([{
			entryId: 'e', epoch: '1', from: minuteMs, to: 4 * minuteMs,
		}]);
	});

	// Guards against a period that counts as covered although one part of its summary is missing.
	it('reports a period with a missing part as a gap', () => {
		const parts = splitSummary({
			...buildSummary(['w1', 'w2', 'w3'].map(workspaceId => ({
				workspaceId, promptTokens: 1, outcome: 'completed', isLate: false,
			})), 0), isLast: true, to: input.to,
		}, 400);
		expect(parts).to.have.length(3);
		expect(listCoverageGaps({...input, summaries: [...parts, parts[0]!]})).to.have.length(0);
		expect(listCoverageGaps({...input, summaries: parts.slice(1)})).to.deep.equal([{
			entryId: 'e', epoch: '1', from: 0, to: input.to,
		}]);
	});

	// Guards against lost first summaries that are taken for a later start of the entry.
	it('reports the time before the first summary as a gap if earlier ones were written', () => {
		expect(listCoverageGaps({...input, summaries: [buildEmptySummary(5, true)]})).to.deep.equal([{
			entryId: 'e', epoch: '1', from: 0, to: 5 * minuteMs,
		}]);
	});
});

describe('computeLengthClass', () => {
	// Guards against prompts that are counted in the wrong length class at a limit.
	it('counts a prompt of exactly the limit in the next class', () => {
		expect([1000, 3999, 4000, 15_999, 16_000, 1_000_000].map(tokens => computeLengthClass(tokens))).to.deep.equal([0, 0, 1, 1, 2, 4]);
	});
});
