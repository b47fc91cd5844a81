import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	array, assert, integer, option, property, uint8Array,
} from 'fast-check';
import {BodyBuffer} from './body-buffer.js';

describe('body buffer', () => {
	// Guards against bodies that differ from what the caller sent, and against memory beyond twice their length.
	it('keeps all bytes in order, whatever the parts are, in bounded memory', () => {
		assert(property(array(uint8Array({maxLength: 5000}), {maxLength: 40}), option(integer({min: 0, max: 1}), {nil: undefined}), (parts, stated) => {
			const expected = Buffer.concat(parts);
			const body = new BodyBuffer(stated === undefined ? undefined : expected.length);
			let allocated = 0;
			for (const part of parts) {
				const needed = body.computeNeeded(part.length);
				allocated += needed;
				body.add(Buffer.from(part), needed);
			}

			expect(body.length).to.equal(expected.length);
			expect(body.toBuffer().equals(expected)).to.equal(true);
			expect(allocated).to.be.at.most(stated === undefined ? (2 * expected.length) + 1024 : Math.max(expected.length, 0));
		}), {seed: 2, numRuns: 100});
	});

	// Guards against 266 bytes and more for each byte of a body that arrives in chunks of one byte.
	it('costs at most twice the length for parts of one byte', () => {
		const body = new BodyBuffer(undefined);
		let allocated = 0;
		for (let index = 0; index < 200_000; index++) {
			const needed = body.computeNeeded(1);
			allocated += needed;
			body.add(Buffer.from([index % 256]), needed);
		}

		expect(allocated).to.be.at.most(400_000);
	});
});
