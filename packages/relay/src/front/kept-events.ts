import {Buffer} from 'node:buffer';
import {findEventsAfter} from '../exchange/event-splitter.js';

/** Bytes of events that a kept attempt may be ahead of the caller. */
const keptLimitBytes = 64 * 1024;

/** Events of an attempt that another one has overtaken, from the place that it had reached. */
export class KeptEvents {
	#chunks: Buffer[] = [];
	#bytes = 0;

	/** `afterId` is the id of the event before the next one of the attempt; undefined when it is not known. */
	constructor(private afterId: string | undefined) {}

	/** Bytes of the events that are held. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Adds complete events; returns false when there are too many that the caller has not received. */
	add(events: Buffer, lastEventId: string | undefined): boolean {
		this.#chunks.push(events);
		this.#bytes += events.length;
		if (this.#bytes > keptLimitBytes) {
			this.removeAfter(lastEventId);
		}

		return this.#bytes <= keptLimitBytes;
	}

	/**
	 * Drops the events up to the last one that the caller has received, and returns those that follow; undefined while the attempt
	 * has not brought that one.
	 */
	removeAfter(lastEventId: string | undefined): Buffer | undefined {
		const events = Buffer.concat(this.#chunks);
		const isReached = lastEventId !== undefined && this.afterId === lastEventId;
		const rest = isReached || lastEventId === undefined ? events : findEventsAfter(events, lastEventId);
		this.#chunks = rest === undefined ? [] : [rest];
		this.#bytes = rest?.length ?? 0;
		this.afterId = rest === undefined ? undefined : lastEventId;
		return rest;
	}
}
