/** Reads the data of each server-sent event of a body; event names, ids and comments are skipped. */
export async function * readEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let buffered = '';
	for await (const bytes of body) {
		buffered += decoder.decode(bytes, {stream: true});
		const events = buffered.split('\n\n');
		buffered = events.pop()!;
		for (const event of events) {
			const data = event
				.split('\n')
				.filter(line => line.startsWith('data:'))
				.map(line => line.slice('data:'.length).trimStart())
				.join('\n');
			if (data !== '') {
				yield data;
			}
		}
	}
}
