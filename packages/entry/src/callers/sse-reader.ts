/** Longest event accepted from a backend server, in characters. */
export const sseEventLimitCharacters = 1_000_000;

/** Splits the bytes of an event stream into the data of its events. */
export class SseReader {
	readonly #decoder = new TextDecoder('utf8', {fatal: true});
	#incompleteEvent = '';

	/** Returns the data of the events completed by these bytes; throws on malformed UTF-8 and on over-long events. */
	accept(bytes: Uint8Array): string[] {
		const text = this.#incompleteEvent + this.#decoder.decode(bytes, {stream: true});
		const events = text.split('\n\n');
		this.#incompleteEvent = events.pop() ?? '';
		if (this.#incompleteEvent.length > sseEventLimitCharacters) {
			throw new RangeError(`event of a backend server exceeds ${sseEventLimitCharacters} characters`);
		}

		return events.map(event => event.startsWith('data: ') ? event.slice(6) : '').filter(data => data !== '');
	}
}
