/** Delivers the messages of one task to its subscribers, in order and one at a time. */
export class MessagePublisher<Message> {
	readonly #subscribers = new Set<(message: Message) => void>();
	readonly #queue: Message[] = [];
	#isDelivering = false;

	/** Subscribes to all later messages; returns a function that ends the subscription. */
	subscribe(subscriber: (message: Message) => void): () => void {
		this.#subscribers.add(subscriber);
		return () => {
			this.#subscribers.delete(subscriber);
		};
	}

	/** Delivers a message. A message that is published during a delivery is delivered after it, so that all subscribers see the same order. */
	publish(message: Message): void {
		this.#queue.push(message);
		if (this.#isDelivering) {
			return;
		}

		this.#isDelivering = true;
		try {
			for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
				for (const subscriber of this.#subscribers) {
					subscriber(next);
				}
			}
		} finally {
			this.#isDelivering = false;
		}
	}
}
