import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import {expect} from 'chai';
import {
	createDirectory, runJson, startRun, startTestEntry, startTestPlatform, testSecret, type TestPlatform,
} from './cli-fixture.test.js';

describe('commands that query entries', () => {
	let platform: TestPlatform;
	let entry: Awaited<ReturnType<typeof startTestEntry>>;
	let files: Awaited<ReturnType<typeof createDirectory>>;

	const getSettings = (): string[] => ['--settings', path.join(files.directory, 'operator.yaml')];

	beforeEach(async () => {
		platform = await startTestPlatform();
		entry = await startTestEntry({
			getStatus: () => ({
				entryId: 'kochi-1', configurationRevision: 3, availabilityRevision: 2, reachesStore: false,
			}),
			explainRequest: requestId => requestId === 'r1' ? [{step: 'admitted', detail: {serverId: 's1'}}] : undefined,
		});
		files = await createDirectory({operator: `platform: ${platform.address}\nentries: ["${entry.address}"]\npeerSecret: ${testSecret}\n`});
	});

	afterEach(async () => {
		entry.close();
		await platform.close();
		await files.remove();
	});

	it('explains a request and reports an unknown one', async () => {
		const {out} = await startRun(['explain', 'r1', ...getSettings()]).done;
		expect(out).to.include('admitted serverId="s1"');
		expect(await runJson(['explain', 'r2', ...getSettings()])).to.include({exitCode: 7});
	});

	// The request must not be reported as not found while the entry that ran it may be the one that does not answer.
	it('does not report a request as unknown while an entry does not answer', async () => {
		await platform.putSession('kollam-1', {peerAddress: '127.0.0.1:1'});
		const run = await runJson(['explain', 'r2', ...getSettings()]);
		expect(run).to.include({exitCode: 4});
		expect(run.error.failed[0]).to.include({address: '127.0.0.1:1'});
	});

	it('ends within 5 s when an entry accepts the connection but does not answer', async () => {
		const silent = createServer().listen(0, '127.0.0.1');
		await once(silent, 'listening');
		const startedAt = performance.now();
		const run = await runJson(['explain', 'r2', ...getSettings(), '--entry', `127.0.0.1:${(silent.address() as AddressInfo).port}`]);
		expect(performance.now() - startedAt).to.be.lessThan(5000);
		expect(run).to.include({exitCode: 4});
		expect(run.error.message).to.include('handshake has timed out');
		silent.close();
	});

	it('reports a secret that the entry does not accept', async () => {
		const other = await createDirectory({secret: 'a-secret-of-no-entry'});
		const run = await runJson(['explain', 'r1', ...getSettings(), '--peer-secret-file', path.join(other.directory, 'secret.yaml')]);
		await other.remove();
		expect(run).to.include({exitCode: 4});
		expect(run.error.message).to.include('secret');
	});

	it('shows the state of the entries, also while the platform is down', async () => {
		const up = await runJson(['status', ...getSettings()]);
		expect(up.answers.answered[0].value).to.include({entryId: 'kochi-1', configurationRevision: 3});
		await platform.addFault({kind: 'down', mode: 'hang'});
		const down = await startRun(['status', ...getSettings()]).done;
		expect(down.exitCode).to.equal(4);
		expect(down.error).to.include('1 of 1 configured entries answer').and.match(/kochi-1 .* 3 .* 2 .* false/v);
	});
});
