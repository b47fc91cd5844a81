import {expect} from 'chai';
import {refusalReasons} from '@knapweedrack/core';
import {createEntry, type Entry} from '@knapweedrack/entry';
import type {ProcessSettings} from '@knapweedrack/protocol';
import {
	createDirectory, runJson, startTestPlatform, type TestPlatform,
} from '../commands/cli-fixture.test.js';
import {computeDigest} from '../configuration/stored-manifest.js';

const credential = 'credential-of-w1';

const buildEntrySettings = (platform: TestPlatform): ProcessSettings => ({
	entryId: 'e1',
	failureDomain: 'kochi',
	region: 'r',
	callerListener: '127.0.0.1:0',
	peerListener: '127.0.0.1:0',
	platform: platform.address,
	seedPeers: [],
	peerSecrets: {current: 'a-secret-for-tests', accepted: []},
	gracePeriodMs: 2000,
});

const lists = {
	workspaces: JSON.stringify({
		workspaces: [{
			id: 'w1', plan: 'shop', fleet: 'f', credentialDigests: [`sha256:${computeDigest(credential)}`],
		}],
	}),
	plans: JSON.stringify({
		fleet: 'f',
		models: ['m'],
		services: [],
		failureDomains: ['kochi'],
		plans: [{
			id: 'shop', models: ['m'], services: [], failureDomains: ['kochi'], requestsPerSecond: 50, tokensPerSecond: 5000, concurrency: 4,
			longestPromptTokens: 1000, firstTokenTargets: [{targetMs: 500}], deadlineMs: 10_000, share: 1,
		}],
	}),
};

describe('report of a real entry', () => {
	let platform: TestPlatform;
	let files: Awaited<ReturnType<typeof createDirectory>>;
	let entry: Entry;

	beforeEach(async () => {
		platform = await startTestPlatform();
		files = await createDirectory(lists);
		expect(await runJson(['config', 'apply', files.directory, ...platform.flags])).to.include({exitCode: 0});
		const created = await createEntry(buildEntrySettings(platform));
		if (!created.ok) {
			throw new Error(created.error.message);
		}

		entry = created.value;
	});

	afterEach(async () => {
		await entry.stop(AbortSignal.abort());
		await files.remove();
		await platform.close();
	});

	// Guards against summaries of an entry that the report cannot read, or that it counts differently from the answers sent.
	it('counts the answers that the entry gave', async () => {
		const startedAt = new Date();
		for (let index = 0; index < 3; index++) {
			const answer = await fetch(`http://${entry.callerAddress}/v1/completions`, {
				method: 'POST', headers: {authorization: `Bearer ${credential}`, 'content-type': 'application/json'},
				body: JSON.stringify({model: 'other', prompt: 'p'}),
			});
			expect(await answer.json()).to.have.nested.property('error.reason', 'unknown_model');
		}

		await entry.stop(AbortSignal.abort());
		const body = await runJson(['report', startedAt.toISOString().slice(0, 10), ...platform.flags]);
		expect(body).to.include({exitCode: 0, wentWell: true});
		expect(body.rows).to.have.length(1);
		expect(body.rows[0]).to.deep.include({
			workspaceId: 'w1', planId: 'shop', requests: 3, admitted: 0, outsidePlan: 3, missed: 0, reasons: {[refusalReasons.unknownModel]: 3},
		});
	});
});
