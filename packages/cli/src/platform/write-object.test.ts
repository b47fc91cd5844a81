import {expect} from 'chai';
import {createError, createOk} from '@knapweedrack/core';
import type {PlatformAccess} from './platform-access.js';
import {writeObject} from './write-object.js';

type PutResult = Awaited<ReturnType<PlatformAccess['put']>>;

const lostAnswer: PutResult = createError({kind: 'unknown', message: 'cut'});

/** Builds a platform access whose writes take effect or not, independent of their answers. */
const createAccess = (answers: Array<{answer: PutResult; stored?: unknown}>, canRead = true) => {
	let object = {key: 'k', version: 1, value: 'old' as unknown};
	const access = {
		puts: 0,
		async put() {
			const {answer, stored} = answers[access.puts++]!;
			object = stored === undefined ? object : {key: 'k', version: object.version + 1, value: stored};
			return answer;
		},
		readBack: async () => canRead ? createOk(object) : createError({kind: 'unavailable', message: 'down'}),
	};
	return access;
};

const write = async (access: ReturnType<typeof createAccess>) => writeObject(access as unknown as PlatformAccess, {
	key: 'k', value: 'mine', baseVersion: 1, hasEdit: value => String(value).includes('mine'),
});

describe('writeObject', () => {
	it('finds its edit after a lost answer, also under a later edit', async () => {
		expect(await write(createAccess([{answer: lostAnswer, stored: 'mine'}]))).to.deep.equal({kind: 'written'});
		expect(await write(createAccess([{answer: lostAnswer, stored: 'later over mine'}]))).to.deep.equal({kind: 'written'});
	});

	// Guards against a delayed first write that takes effect after the command reported that nothing was changed.
	it('sends the same conditional write again while the base version is present', async () => {
		const access = createAccess([{answer: lostAnswer}, {answer: createError({kind: 'version_mismatch', version: 2}), stored: 'mine'}]);
		expect(await write(access)).to.deep.equal({kind: 'written'});
		expect(access.puts).to.equal(2);
	});

	it('reports a conflict when another edit replaced the base version', async () => {
		expect(await write(createAccess([{answer: lostAnswer, stored: 'theirs'}]))).to.have.property('kind', 'conflict');
		expect(await write(createAccess([{answer: createError({kind: 'version_mismatch', version: 2}), stored: 'theirs'}]))).to.have.property('kind', 'conflict');
	});

	// If an unconfirmed write were reported as not applied, the operator would repeat it.
	it('reports an unknown outcome when the object cannot be read back', async () => {
		expect(await write(createAccess([{answer: lostAnswer, stored: 'mine'}], false))).to.have.property('kind', 'unknown');
		expect(await write(createAccess([{answer: lostAnswer}, {answer: createError({kind: 'unavailable', message: 'down'})}]))).to.have.property('kind', 'unknown');
	});

	it('reports a write that the platform refused as not written', async () => {
		expect(await write(createAccess([{answer: createError({kind: 'unavailable', message: 'down'})}]))).to.include({kind: 'not_written'});
	});
});
