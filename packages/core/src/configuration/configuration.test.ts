import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {expect} from 'chai';
import fc from 'fast-check';
import type {Configuration, Plan, Workspace} from '../types/configuration.js';
import {
	buildManifest, listMissingChunks, objectLimitBytes, readConfiguration, splitConfiguration, type ConfigurationManifest,
} from './chunks.js';
import {ConfigurationState, configurationFreshnessMs} from './configuration-state.js';
import {resolveManifestWrite, resolveWrite, selectRevision} from './revision.js';

const digest = (text: string): string => createHash('sha256').update(text).digest('hex');

const plan: Plan = {
	id: 'p', models: ['m'], services: [], failureDomains: ['d'], requestsPerSecond: 1, tokensPerSecond: 1, concurrency: 1,
	longestPromptTokens: 1, firstTokenTargets: [], deadlineMs: 1, share: 1,
};

const buildWorkspaces = (count: number): Workspace[] => Array.from({length: count}, (_, index) => ({
	id: `workspace-${index}`, plan: 'p', fleet: 'kerala-coast', credentialDigests: [`sha256:${digest(`${index}`)}`],
}));

const buildConfiguration = (workspaces: Workspace[]): Configuration => ({
	revision: 0, plans: [plan], services: [{name: 's', idempotentMethods: ['GET']}], workspaces,
});

describe('splitConfiguration', () => {
	// Guards against chunks too large for the object API, and against an edit that rewrites the whole list.
	it('splits 27,000 workspaces into small chunks and changes one chunk per edit', () => {
		const workspaces = buildWorkspaces(27_000);
		const chunks = splitConfiguration(buildConfiguration(workspaces), digest);
		expect(Math.max(...chunks.map(({text}) => Buffer.byteLength(text)))).to.be.below(objectLimitBytes);
		const hashes = new Set(chunks.map(({hash}) => hash));
		const edited = workspaces.map((workspace, index) => index === 13_000 ? {...workspace, plan: 'q'} : workspace);
		const changed = splitConfiguration(buildConfiguration(edited), digest).filter(({hash}) => !hashes.has(hash));
		expect(changed).to.have.length(1);
		const added = [...workspaces, {...workspaces[0]!, id: 'new'}];
		expect(splitConfiguration(buildConfiguration(added), digest).filter(({hash}) => !hashes.has(hash)).length).to.be.at.most(2);
	});

	// Guards against a workspace that is lost or duplicated, and against content addresses that depend on the order of the list.
	it('reads back the same configuration for any order of the list', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string(), {maxLength: 60}), fc.integer({min: 100, max: 2000}), (ids, limit) => {
			const workspaces = ids.map(id => ({...buildWorkspaces(1)[0]!, id}));
			const chunks = splitConfiguration(buildConfiguration(workspaces), digest, limit);
			const reversed = splitConfiguration(buildConfiguration(workspaces.toReversed()), digest, limit);
			expect(reversed.map(({hash}) => hash)).to.deep.equal(chunks.map(({hash}) => hash));
			const result = readConfiguration(buildManifest(chunks, 'e'), new Map(chunks.map(({hash, chunk}) => [hash, chunk])));
			expect(result.ok && result.value.workspaces.map(({id}) => id).sort()).to.deep.equal(ids.sort());
		}), {seed: 18, numRuns: 200});
	});
});

describe('ConfigurationState', () => {
	// Guards against a return to an earlier revision, and against a revision applied with a missing or corrupt chunk.
	it('applies only complete revisions in ascending order', () => {
		const revisions = [1, 2, 3, 4].map(count => splitConfiguration(buildConfiguration(buildWorkspaces(count * 2)), digest, 400));
		let previous: ConfigurationManifest | undefined;
		const manifests = revisions.map((chunks, index) => {
			previous = buildManifest(chunks, `e${index}`, previous);
			return previous;
		});
		const step = fc.record({
			manifest: fc.nat(3), chunk: fc.nat(30), isManifest: fc.boolean(), isCorrupt: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
			const state = new ConfigurationState({digest});
			let applied = 0;
			for (const {manifest, chunk: index, isManifest, isCorrupt} of steps) {
				const chunks = revisions[manifest]!;
				const {hash, chunk} = chunks[index % chunks.length]!;
				const event = isManifest
					? {type: 'manifest' as const, manifest: manifests[manifest]!}
					: {type: 'chunk' as const, hash, chunk: isCorrupt ? {...chunk, items: []} : chunk};
				for (const command of state.handle(event)) {
					if (command.type === 'apply') {
						expect(command.manifest.revision).to.be.above(applied);
						expect(command.configuration.workspaces).to.have.length(command.manifest.revision * 2);
						applied = command.manifest.revision;
					}
				}

				expect(state.revision).to.equal(applied);
			}
		}), {seed: 19, numRuns: 500});
	});

	// Guards against an entry that admits requests with an old configuration when it can reach neither the store nor a peer.
	it('is fresh only while the highest known revision is confirmed', () => {
		const chunks = splitConfiguration(buildConfiguration(buildWorkspaces(1)), digest);
		const state = new ConfigurationState({digest});
		const manifest = buildManifest(chunks, 'e');
		state.handle({type: 'manifest', manifest});
		expect(listMissingChunks(manifest, new Set())).to.have.length(3);
		for (const {hash, chunk} of chunks) {
			state.handle({type: 'chunk', hash, chunk});
		}

		state.handle({type: 'revision', revision: 1, sentAt: 1000});
		expect(state.isFresh(1000 + configurationFreshnessMs)).to.equal(true);
		expect(state.isFresh(1001 + configurationFreshnessMs)).to.equal(false);
		expect(state.handle({type: 'revision', revision: 2, sentAt: 2000})).to.deep.equal([{type: 'fetch_manifest'}]);
		state.handle({type: 'revision', revision: 1, sentAt: 9000});
		expect(state.isFresh(12_000)).to.equal(false);
	});
});

describe('resolveWrite', () => {
	// Guards against an edit that is repeated or dropped because its reply was lost.
	it('resolves a write with a lost reply by its edit id', () => {
		const base = {revision: 3, editId: 'a'};
		expect(resolveWrite(base, {revision: 4, editId: 'mine'}, 'mine')).to.equal('applied');
		expect(resolveWrite(base, base, 'mine')).to.equal('not_applied');
		expect(resolveWrite(base, {revision: 5, editId: 'other'}, 'mine')).to.equal('conflict');
		const manifest = {...buildManifest([], 'other'), revision: 5, recentEditIds: ['other', 'mine', 'a']};
		expect(resolveManifestWrite(base, manifest, 'mine')).to.equal('applied');
		expect(selectRevision(base, {revision: 3, editId: 'b'})).to.equal(base);
	});
});
