import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {expect} from 'chai';
import {MinuteCollector, type MinuteSummary, type RequestFacts} from '@knapweedrack/core';
import {buildSummaryKey} from '@knapweedrack/protocol';
import {
	buildLists, createDirectory, runJson, startRun, startTestPlatform, type TestPlatform,
} from '../commands/cli-fixture.test.js';

const day = '2026-11-20';
const dayStart = Date.parse(`${day}T00:00:00Z`);
const hourMs = 3_600_000;
const completedFacts: RequestFacts = {
	workspaceId: 'w1', promptTokens: 900, outcome: 'completed', firstTokenMs: 200, firstTokenTargetMs: 500, isLate: false,
};

/** Builds a summary of the hours from `from` to `to` of the day. */
const summarize = (entryId: string, [sequence, from, to]: [number, number, number], facts: RequestFacts[], isLast = false): MinuteSummary => {
	const collector = new MinuteCollector();
	for (const fact of facts) {
		collector.record(fact);
	}

	return collector.close({
		entryId, epoch: `${entryId}-process`, sequence, from: dayStart + (from * hourMs), to: dayStart + (to * hourMs), isLast,
	});
};

describe('report', () => {
	let platform: TestPlatform;
	let lists: Awaited<ReturnType<typeof createDirectory>>;

	beforeEach(async () => {
		platform = await startTestPlatform();
		lists = await createDirectory(buildLists(['w1', 'w2']));
		expect(await runJson(['config', 'apply', lists.directory, ...platform.flags])).to.include({exitCode: 0});
	});

	afterEach(async () => {
		await lists.remove();
		await platform.close();
	});

	const put = async (...summaries: MinuteSummary[]): Promise<void> => {
		for (const summary of summaries) {
			await platform.putObject(buildSummaryKey(summary), summary);
		}
	};

	const runHtml = async () => {
		const file = path.join(lists.directory, 'report.html');
		const run = await startRun(['report', day, '--html', file, ...platform.flags]).done;
		return {run, html: await readFile(file, 'utf8')};
	};

	// Guards against reporting a completely covered day as uncertain, and against a page that needs other files.
	it('reports in the first line that a day went well', async () => {
		await put(summarize('a', [0, 0, 24], [completedFacts, {
			...completedFacts, outcome: 'not_run', reason: 'request_rate_exceeded', firstTokenMs: undefined, firstTokenTargetMs: undefined,
		}]));
		const {run, html} = await runHtml();
		expect(run.exitCode, run.error).to.equal(0);
		expect(run.out.split('\n')[0]).to.equal(`${day} went well for all 2 workspaces.`);
		expect(run.out).to.match(/^w1 +shop +1 +100% .*request_rate_exceeded 1/mv);
		expect(html).to.include(`<h1>${day} went well for all 2 workspaces.</h1>`);
		expect(html).to.include('@media print').and.to.include('class="bar"');
		expect(html).not.to.match(/<script|<link|src=|https?:/v);
	});

	// Guards against counting the time after the crash of an entry as time without failures.
	it('shows the time after the crash of an entry as not covered', async () => {
		await put(summarize('a', [0, 0, 12], [completedFacts]), summarize('a', [1, 12, 24], [completedFacts]), summarize('b', [0, 0, 9], [completedFacts]));
		const {run, html} = await runHtml();
		expect(run.exitCode).to.equal(9);
		expect(run.out).to.match(/^Whether 2026-11-20 went well is not certain/v);
		expect(run.out).to.include('not covered: b (b-process) from 09:00 to 24:00');
		expect(run.out).not.to.match(/went well$/mv);
		expect(html).to.include('<title>09:00 to 24:00</title>');
		const body = await runJson(['report', day, ...platform.flags]);
		expect(body).to.deep.include({ok: false, exitCode: 9, wentWell: false});
		expect(body.gaps).to.have.length(1);
	});

	// Guards against failures that totals hide, and against refusals by plan limits that are reported as failures.
	it('reports what did not go well and why', async () => {
		await put(summarize('a', [0, 0, 24], [completedFacts, {...completedFacts, outcome: 'unknown', reason: 'stream_incomplete'}, {...completedFacts, isLate: true, firstTokenMs: 900}]));
		const {run} = await runHtml();
		expect(run.exitCode).to.equal(0);
		expect(run.out).to.match(/^2026-11-20 did not go well for 1 of 2 workspaces \(w1\)/v);
		expect(run.out).to.include('did not go well: 1 requests not served (stream_incomplete 1); 1 late; first token in time for 66.6%, goal 95%');
	});

	// Guards against a day without data that looks like a day without failures.
	it('reports a day without data as not known', async () => {
		const {run, html} = await runHtml();
		expect(run.exitCode).to.equal(7);
		expect(run.out).to.match(/^Whether 2026-11-20 went well is not certain: there are no figures/v);
		expect(run.out).not.to.include('no requests');
		expect(html).to.include('<title>00:00 to 24:00</title>');
	});

	// Guards against corrupt objects that are counted in part, silently dropped or abort the command.
	it('names corrupt objects and summaries of another version', async () => {
		const corrupt = summarize('a', [1, 12, 24], [completedFacts]);
		corrupt.workspaces.w1!.classes['0']!.firstToken = 'no histogram';
		const newer = summarize('c', [0, 0, 24], [completedFacts]);
		await put(summarize('a', [0, 0, 12], [completedFacts]), corrupt);
		await platform.putObject(buildSummaryKey(newer), {...newer, version: 2});
		await platform.putObject(`summaries/${day}/x/y`, 'text');
		const {run, html} = await runHtml();
		expect(run.exitCode).to.equal(9);
		expect(run.out).to.include(`missing: ${buildSummaryKey(newer)} is a summary of version 2; this program reads version 1`);
		expect(run.out).to.include(`missing: ${buildSummaryKey(corrupt)} is not a valid summary`);
		expect(run.out).to.include('not covered: a (a-process) from 12:00 to 24:00');
		expect(html).to.include(`summaries/${day}/x/y is not a valid summary`);
	});

	// Guards against script injection by texts from stored objects.
	it('escapes all text from outside', async () => {
		const attack = '<img src=x onerror="alert(1)">';
		const facts: RequestFacts = {
			...completedFacts, workspaceId: `w${attack}`, outcome: 'failed', reason: `r${attack}` as 'internal',
		};
		await platform.putObject(`summaries/${day}/o${attack.replaceAll(/[^a-z]/gv, '-')}/1`, attack);
		await platform.putObject('availability', {
			revision: 1, editId: 'e', failureDomains: {[`d${attack}`]: 'out_of_service'}, instances: {},
		});
		const summary = summarize('a', [0, 0, 12], [facts]);
		await put({...summary, epoch: 'e&<b>'.replaceAll(/[^a-z]/gv, '-')});
		const {html} = await runHtml();
		expect(html).to.include('w&lt;img src=x').and.to.include('r&lt;img src=x').and.to.include('d&lt;img src=x');
		expect(html).not.to.include('<img');
	});

	it('refuses a malformed day and reports an outage', async () => {
		for (const text of ['yesterday', '2026-02-30', '2026-1-1', '2026-11-20T00:00:00Z']) {
			expect(await runJson(['report', text, ...platform.flags]), text).to.include({exitCode: 2});
		}

		await platform.addFault({kind: 'down'});
		expect(await runJson(['report', day, ...platform.flags, '--timeout-ms', '500'])).to.include({exitCode: 4});
	});
});
