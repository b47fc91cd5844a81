import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from './event-splitter.js';

describe('EventSplitter', () => {
	// Guards against events that are truncated, duplicated or lost at the boundaries of network chunks.
	it('returns the same events for any split of the bytes into chunks', () => {
		const event = fc.record({id: fc.nat(999), data: fc.string({maxLength: 12}).map(text => text.replaceAll(/[\r\n]/gv, ' ')), isCrLf: fc.boolean()});
		fc.assert(fc.property(fc.array(event, {minLength: 1, maxLength: 6}), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (events, sizes) => {
			const text = events.map(({id, data, isCrLf}) => {
				const end = isCrLf ? '\r\n' : '\n';
				return `id: ${id}${end}data: ${data}${end}${end}`;
			}).join('');
			const bytes = Buffer.from(`${text}id: 1000\ndata: not finished`);
			const splitter = new EventSplitter();
			const passed: Buffer[] = [];
			let count = 0;
			let lastEventId: string | undefined;
			for (let at = 0, turn = 0; at < bytes.length; turn++) {
				const size = sizes[turn % sizes.length]!;
				const result = splitter.add(bytes.subarray(at, at + size));
				at += size;
				count += result.count;
				passed.push(result.bytes ?? Buffer.alloc(0));
				lastEventId = result.lastEventId ?? lastEventId;
			}

			expect(Buffer.concat(passed).toString()).to.equal(text);
			expect(count).to.equal(events.length);
			expect(lastEventId).to.equal(String(events.at(-1)!.id));
			expect(splitter.removeIncompleteEvent().toString()).to.equal('id: 1000\ndata: not finished');
		}), {seed: 5, numRuns: 300});
	});
});
