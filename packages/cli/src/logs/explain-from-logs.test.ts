import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {runJson, startRun} from '../commands/cli-fixture.test.js';

const write = (time: number, entry: string, event: string, fields: Record<string, unknown> = {}): string =>
	JSON.stringify({
		level: 30, time, entry, event, ...fields,
	});

const east = [
	write(1000, 'east-1', 'process.started'),
	write(95_000, 'east-1', 'store.lost', {watch: 'configuration'}),
	write(99_000, 'east-1', 'server.gone', {server: 's2'}),
	write(100_500, 'east-1', 'attempt', {
		requestId: 'r1', server: 's1', outcome: 'broken', cause: 'ECONNRESET',
	}),
	write(100_510, 'east-1', 'answer', {requestId: 'r1', reason: 'serverFailed', status: 502}),
	write(100_600, 'east-1', 'answer', {requestId: 'r2', reason: 'overloaded', status: 503}),
	write(200_000, 'east-1', 'answer', {requestId: 'r3', reason: 'quarantined', content: 'c1'}),
];
const crash = {content: 'c1', server: 's7', evidence: 'connection refused'};
const west = [write(2000, 'west-1', 'content.server_crashed', crash), write(3000, 'west-1', 'content.server_crashed', {...crash, content: 'c2'}), write(100_200, 'west-1', 'server.silent', {server: 's1'}), write(100_300, 'west-1', 'store.lost', {watch: 'servers'}), '{"time":'];

describe('explain from logs', () => {
	let folder: string;
	const list = (...names: string[]): string[] => ['--log', ...names.map(name => path.join(folder, name))];

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'logs-'));
		await writeFile(path.join(folder, 'east.log'), `a line of another program\n${east.map(line => `east-1 | ${line}`).join('\n')}\n`);
		await writeFile(path.join(folder, 'west.log'), west.join('\n'));
	});
	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	// Guards against omitting a cause that is in the log of another entry, or in a line without the request id.
	it('shows the lines of a request and those about its entries and servers before it', async () => {
		const run = await runJson(['explain', 'r1', ...list('east.log', 'west.log')]);
		const [lines, surroundings] = [run.lines as Array<{event: string}>, run.surroundings as Array<{event: string}>];
		expect(lines.map(({event}) => event)).to.deep.equal(['attempt', 'answer']);
		expect(surroundings.map(({event}) => event)).to.deep.equal(['store.lost', 'server.silent']);
		expect(run).to.include({read: 11, unreadable: 1});
	});

	// Guards against a refusal because of crashes long before it, at other entries, that cannot be explained.
	it('shows the crashes of the content of a refused request', async () => {
		const run = await runJson(['explain', 'r3', ...list('east.log', 'west.log')]);
		expect(run.surroundings).to.have.length(1);
		expect((run.surroundings as unknown[])[0]).to.include({entry: 'west-1', event: 'content.server_crashed', ...crash});
	});

	// Guards against a refusal because of one part of a prompt, whose crashes belong to requests with other content.
	it('shows the crashes under a part of the prompt of a refused request', async () => {
		await writeFile(path.join(folder, 'parts.log'), [
			write(1000, 'west-1', 'content.server_crashed', {content: 'c5', parts: [{content: 'part-1', crashes: 1}], server: 's8'}),
			write(1500, 'west-1', 'content.server_crashed', {content: 'c6', parts: [{content: 'part-2', crashes: 1}], server: 's9'}),
			write(2000, 'east-1', 'content.crash_received', {source: 'west-1', records: [{content: 'c5', crashes: 1}, {content: 'part-1', crashes: 1}]}),
			write(3000, 'east-1', 'content.quarantined', {content: 'part-1'}),
			write(200_000, 'east-1', 'answer', {
				requestId: 'r7', reason: 'quarantined', content: 'c7', parts: ['part-0', 'part-1'],
			}),
		].join('\n'));
		const {surroundings} = await runJson(['explain', 'r7', ...list('parts.log')]);
		expect((surroundings as Array<{event: string}>).map(({event}) => event)).to.deep.equal(['content.server_crashed', 'content.crash_received', 'content.quarantined']);
	});

	it('renders the lines of all entries in order of time', async () => {
		const {out} = await startRun(['explain', 'r1', ...list('east.log', 'west.log')]).done;
		expect(out.trim().split('\n').slice(1, -1).map(row => row.slice(0, 31))).to.deep.equal([
			'    -5.500 east-1 store.lost wa', '    -0.300 west-1 server.silent', '*    0.000 east-1 attempt serve', '*    0.010 east-1 answer reason',
		]);
		expect(out).to.include('cause="ECONNRESET"').and.include('1 lines could not be read');
	});

	it('reports an unknown request and files that cannot be read', async () => {
		expect(await runJson(['explain', 'r9', ...list('east.log')])).to.include({exitCode: 7});
		expect(await runJson(['explain', 'r1', ...list('nowhere.log')])).to.include({exitCode: 2});
	});
});
