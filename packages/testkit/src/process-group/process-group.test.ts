import {once} from 'node:events';
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';
import {pathToFileURL} from 'node:url';
import {expect} from 'chai';
import {ProcessGroup} from './process-group.js';

const serviceModule = '@knapweedrack/testkit/service-main';

const isAlive = (pid: number): boolean => {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
};

const waitUntilEnded = async (pid: number): Promise<void> => {
	while (isAlive(pid)) {
		await wait(5);
	}
};

describe('ProcessGroup', () => {
	let group: ProcessGroup;
	let folder: string;

	const buildScript = async (name: string, text: string): Promise<string> => {
		const path = join(folder, `${name}.mjs`);
		await writeFile(path, text);
		return pathToFileURL(path).href;
	};

	beforeEach(async () => {
		group = new ProcessGroup();
		folder = await mkdtemp(join(tmpdir(), 'knapweedrack-process-group-'));
	});

	afterEach(async () => {
		await group.closeAll();
		await rm(folder, {recursive: true});
	});

	it('starts a stand-in, stops it with SIGTERM and frees its id', async () => {
		const service = await group.start({id: 's1', module: serviceModule, args: ['--port', '0']});
		expect(service.ready.address).to.match(/^127\.0\.0\.1:\d+$/v);
		expect(await group.stop('s1')).to.deep.equal({code: 0, signal: null});
		expect(group.ids).to.deep.equal([]);
	});

	it('kills one process and leaves the others', async () => {
		const [first, second] = await Promise.all(['s1', 's2'].map(async id => group.start({id, module: serviceModule})));
		expect(await group.close('s1')).to.deep.equal({code: null, signal: 'SIGKILL'});
		expect(isAlive(first!.pid)).to.be.false;
		expect(isAlive(second!.pid)).to.be.true;
	});

	// Tests of expired leases freeze the owner, which must then send nothing until it continues.
	it('freezes and continues a process', async () => {
		const service = await group.start({id: 's1', module: serviceModule});
		group.setFrozen('s1', true);
		const answer = fetch(`http://${service.ready.address}/testkit/state`);
		expect(await Promise.race([answer, wait(200, 'frozen')])).to.equal('frozen');
		group.setFrozen('s1', false);
		const response = await answer;
		expect(response.status).to.equal(200);
	});

	it('reports a process that is not ready in time, with its standard error, and ends it', async () => {
		const module = await buildScript('silent', 'console.error("pid", process.pid); setInterval(() => {}, 1000);');
		const error = await group.start({id: 'x', module, readyTimeoutMs: 1500}).catch((error_: unknown) => error_ as Error) as Error; // eslint-disable-line promise/prefer-await-to-then
		expect(error.message).to.match(/no ready line within 1500 ms/v);
		const pid = Number(/pid (\d+)/v.exec(error.message)?.[1]);
		expect(isAlive(pid)).to.be.false;
	});

	it('reports a process that ends before it is ready', async () => {
		const module = await buildScript('failing', 'process.exit(3);');
		const error = await group.start({id: 'x', module}).catch((error_: unknown) => error_ as Error) as Error; // eslint-disable-line promise/prefer-await-to-then
		expect(error.message).to.match(/ended with code 3/v);
	});

	// Children that outlive an interrupted test run would use CPU time and keep ports open.
	for (const ending of ['process.exit(0)', 'process.kill(process.pid, "SIGTERM")', 'process.kill(process.pid, "SIGKILL")', 'throw new Error("test")']) {
		it(`ends the children when the parent ends by ${ending}`, async () => {
			const module = await buildScript('parent', `
				import {ProcessGroup} from ${JSON.stringify(new URL('process-group.ts', import.meta.url).href)};
				const child = await new ProcessGroup().start({id: 's', module: ${JSON.stringify(serviceModule)}});
				console.log(child.pid);
				${ending};
				setInterval(() => {}, 1000);
			`);
			const parent = spawn(process.execPath, [...process.execArgv, new URL(module).pathname], {stdio: ['ignore', 'pipe', 'ignore']});
			const [line] = await once(createInterface({input: parent.stdout}), 'line') as [string];
			await waitUntilEnded(Number(line));
			expect(Number(line)).to.be.above(0);
		});
	}
});
