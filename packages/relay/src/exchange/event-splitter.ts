import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idField = Buffer.from('id:');
const dataField = Buffer.from('data:');

/** Complete events. */
export type SplitEvents = {
	bytes: Buffer | undefined;
	count: number;
	/** Id of the last event that has one. */
	lastEventId: string | undefined;
	/** True when the last event with data has an id, so that a stream can continue after it; undefined without events with data. */
	endsWithId: boolean | undefined;
};

/**
 * Splits a stream of server-sent events at event boundaries. An event that the backend server did not finish
 * is never forwarded, so that another attempt can continue the stream after the last complete event.
 */
export class EventSplitter {
	#held: Buffer = Buffer.alloc(0);

	/** Number of bytes of the incomplete event. */
	get heldBytes(): number {
		return this.#held.length;
	}

	/** True after the first bytes of an event that has not ended; line ends alone are no event. */
	get isWithinEvent(): boolean {
		return this.#held.some(byte => byte !== lineFeed && byte !== carriageReturn);
	}

	/** Removes and returns the bytes of an incomplete event. */
	removeIncompleteEvent(): Buffer {
		const rest = this.#held;
		this.#held = Buffer.alloc(0);
		return rest;
	}

	/** Adds bytes and returns the events that they complete. */
	add(chunk: Buffer): SplitEvents {
		const bytes = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
		const ends = listEventEnds(bytes);
		const end = ends.at(-1);
		if (end === undefined) {
			this.#held = bytes;
			return {
				bytes: undefined, count: 0, lastEventId: undefined, endsWithId: undefined,
			};
		}

		this.#held = bytes.subarray(end);
		return describeEvents(bytes.subarray(0, end));
	}
}

/** Describes bytes that are complete events. */
export const describeEvents = (bytes: Buffer): SplitEvents => {
	const ends = listEventEnds(bytes);
	return {
		bytes, count: ends.length, lastEventId: findLastId(bytes), endsWithId: isLastEventIdentified(bytes, ends),
	};
};

/** Returns the complete events that follow the one with an id; undefined when none has it. */
export const findEventsAfter = (bytes: Buffer, id: string): Buffer | undefined => {
	const ends = listEventEnds(bytes);
	const index = ends.findIndex((end, position) => findLastId(bytes.subarray(ends[position - 1] ?? 0, end)) === id);
	return index === -1 ? undefined : bytes.subarray(ends[index]);
};

/** Positions after the blank line that ends each event. */
const listEventEnds = (bytes: Buffer): number[] => {
	const ends: number[] = [];
	let lineStart = 0;
	for (let end = bytes.indexOf(lineFeed); end !== -1; end = bytes.indexOf(lineFeed, lineStart)) {
		if (isBlank(bytes, lineStart, end) && end > 0) {
			ends.push(end + 1);
		}

		lineStart = end + 1;
	}

	return ends;
};

const isBlank = (bytes: Buffer, start: number, end: number): boolean =>
	end === start || (end === start + 1 && bytes[start] === carriageReturn);

/** Checks the last event that has data; comments and other events without data are not repeated by a resumed stream. */
const isLastEventIdentified = (bytes: Buffer, ends: readonly number[]): boolean | undefined => {
	for (let index = ends.length - 1; index >= 0; index--) {
		const event = bytes.subarray(ends[index - 1] ?? 0, ends[index]);
		if (hasField(event, dataField)) {
			return hasField(event, idField);
		}
	}

	return undefined;
};

const hasField = (event: Buffer, field: Buffer): boolean => {
	for (let at = event.indexOf(field); at !== -1; at = event.indexOf(field, at + 1)) {
		if (at === 0 || event[at - 1] === lineFeed) {
			return true;
		}
	}

	return false;
};

const findLastId = (bytes: Buffer): string | undefined => {
	for (let at = bytes.lastIndexOf(idField); at !== -1; at = at === 0 ? -1 : bytes.lastIndexOf(idField, at - 1)) {
		if (at === 0 || bytes[at - 1] === lineFeed) {
			const end = bytes.indexOf(lineFeed, at);
			return bytes.subarray(at + idField.length, end).toString('latin1').trim();
		}
	}

	return undefined;
};
