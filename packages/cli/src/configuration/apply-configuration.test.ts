import {expect} from 'chai';
import type {ConfigurationLists} from '@knapweedrack/protocol';
import type {WriteCondition} from '@knapweedrack/platform-client';
import {startTestPlatform, type TestPlatform} from '../commands/cli-fixture.test.js';
import {PlatformAccess} from '../platform/platform-access.js';
import type {Progress} from '../program/progress.js';
import {applyConfiguration} from './apply-configuration.js';

const progress: Progress = {
	update: () => undefined, report: () => undefined, stop: () => undefined,
};

const buildConfiguration = (service: string): ConfigurationLists => ({plans: [], services: [{name: service, idempotentMethods: []}], workspaces: []});

/** Runs a step just before the manifest is written, or after it is written and before its answer is lost. */
class InterruptedAccess extends PlatformAccess {
	constructor(address: string, private readonly step: () => Promise<unknown>, private readonly isAfterWrite: boolean) {
		super(address, 1000);
	}

	override async put(key: string, value: unknown, condition: WriteCondition) {
		if (key !== 'config/manifest') {
			return super.put(key, value, condition);
		}

		if (!this.isAfterWrite) {
			await this.step();
			return super.put(key, value, condition);
		}

		await super.put(key, value, condition);
		await this.step();
		return {ok: false as const, error: {kind: 'unknown' as const, message: 'the answer was lost'}};
	}
}

describe('applyConfiguration', () => {
	let platform: TestPlatform;
	let accesses: PlatformAccess[];

	const apply = async (service: string, author: string, access = new PlatformAccess(platform.address, 1000)) => {
		accesses.push(access);
		return applyConfiguration(access, {lists: buildConfiguration(service), author, expectedRevision: undefined}, progress);
	};

	beforeEach(async () => {
		accesses = [];
		platform = await startTestPlatform();
	});

	afterEach(async () => {
		await Promise.all(accesses.map(async access => access.close()));
		await platform.close();
	});

	const verifyLostRace = async (baseRevision: number): Promise<void> => {
		const result = await apply('mine', 'ana', new InterruptedAccess(platform.address, async () => apply('theirs', 'bo'), false));
		expect(result).to.have.nested.property('error.exitCode', 5);
		expect(result).to.have.nested.property('error.message').that.includes(`revision ${baseRevision + 1} by bo: `);
		expect(await platform.getValue('config/manifest')).to.include({revision: baseRevision + 1});
	};

	// Both operators read the same revision; without the condition, the second write would undo the first.
	it('reports a conflict when another edit is written between reading and writing', async () => {
		await apply('before', 'ana');
		await verifyLostRace(1);
	});

	it('reports a conflict when another operator writes the first revision', async () => verifyLostRace(0));

	it('finds its edit under a later one after a lost answer', async () => {
		const result = await apply('mine', 'ana', new InterruptedAccess(platform.address, async () => apply('theirs', 'bo'), true));
		expect(result).to.have.nested.property('value.revision', 1);
		expect(await platform.getValue('config/manifest')).to.include({revision: 2});
	});

	// If this edit were reported as not applied, the operator would apply it again over the edits of others.
	it('reports an unknown outcome when the platform goes down before it confirms the write', async () => {
		const result = await apply('mine', 'ana', new InterruptedAccess(platform.address, async () => platform.addFault({kind: 'down'}), true));
		expect(result).to.have.nested.property('error.exitCode', 8);
		expect(result).to.have.nested.property('error.message').that.includes('may have taken effect');
	});

	it('leaves the configuration in force when the platform goes down between chunks and manifest', async () => {
		await apply('before', 'ana');
		const result = await apply('mine', 'ana', new InterruptedAccess(platform.address, async () => platform.addFault({kind: 'down', count: 1}), false));
		expect(result).to.have.nested.property('error.exitCode', 4);
		expect(result).to.have.nested.property('error.message').that.includes('did not take effect');
		expect(await platform.getValue('config/manifest')).to.include({revision: 1});
	});
});
