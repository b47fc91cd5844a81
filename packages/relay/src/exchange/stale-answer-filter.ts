import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';

/** A request whose answer is expected on a connection. */
export type ExpectedAnswer = {
	/** Id that the answer carries; undefined when the request has none. */
	requestId: string | undefined;
	method: string;
	/** Reads the id of the request from the head of an answer. */
	readRequestId: (status: number, headers: IncomingHttpHeaders) => string | undefined;
};

type PreviousRequest = {requestId: string; method: string};
type AnswerHead = {status: number; headers: IncomingHttpHeaders};

/** What is done with the next bytes: pass them on, read the head of an answer first, or skip the body of a stale answer. */
const filterStates = {passing: 'passing', head: 'head', body: 'body'} as const;
type FilterState = (typeof filterStates)[keyof typeof filterStates];

/** Requests of a connection whose late answers are recognized. */
const previousLimit = 16;
/** Longest head that is held until it is complete, in bytes. */
const headLimitBytes = 64 * 1024;
const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';
const firstFinalStatus = 200;
/** Statuses of answers without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Removes late copies of earlier answers from the bytes of a connection. A backend server may send an answer a second time after the
 * connection has been given another request; the copy carries the id of the earlier one. Without the filter it would be taken for the answer
 * to the request that waits, which the server runs and answers right after.
 */
export class StaleAnswerFilter {
	readonly #previous: PreviousRequest[] = [];
	#current: ExpectedAnswer | undefined;
	#state: FilterState = filterStates.passing;
	#held: Buffer = Buffer.alloc(0);
	#body: BodySkipper | undefined;

	/** `notifyStale` is called with the request id of each answer that is removed. */
	constructor(private readonly notifyStale: (requestId: string) => void) {}

	/** Sets the request that is sent next on the connection. */
	expect(expected: ExpectedAnswer): void {
		const {requestId, method} = this.#current ?? {};
		if (requestId !== undefined && method !== undefined) {
			this.#previous.push({requestId, method});
			this.#previous.splice(0, this.#previous.length - previousLimit);
		}

		this.#current = expected;
		// On its first request a connection cannot carry an earlier answer.
		this.#state = this.#previous.length > 0 ? filterStates.head : filterStates.passing;
	}

	/** Returns the bytes that belong to the expected answer; bytes of an incomplete head are held. */
	removeStale(received: Buffer): Buffer {
		if (this.#isPassing()) {
			return received;
		}

		let bytes: Buffer = Buffer.concat([this.#held, received]);
		this.#held = Buffer.alloc(0);
		const passed: Buffer[] = [];
		while (bytes.length > 0 && !this.#isPassing()) {
			const rest = this.#state === filterStates.head ? this.#filterHead(bytes, passed) : this.#skipBody(bytes);
			if (rest === undefined) {
				this.#held = bytes;
				return Buffer.concat(passed);
			}

			bytes = rest;
		}

		return Buffer.concat([...passed, bytes]);
	}

	#isPassing(): boolean {
		return this.#state === filterStates.passing;
	}

	/** Decides about the answer at the start of the bytes; returns what follows, or undefined when its head is incomplete. */
	#filterHead(bytes: Buffer, passed: Buffer[]): Buffer | undefined {
		const end = bytes.indexOf(headEnd);
		if (end === -1 && bytes.length <= headLimitBytes) {
			return undefined;
		}

		const head = end === -1 ? undefined : parseHead(bytes.subarray(0, end).toString('latin1'));
		const bodyStart = end + headEnd.length;
		if (head !== undefined && head.status < firstFinalStatus) {
			passed.push(bytes.subarray(0, bodyStart));
			return bytes.subarray(bodyStart);
		}

		const stale = head === undefined ? undefined : this.#findStale(head);
		const body = head === undefined || stale === undefined ? undefined : createBodySkipper(head, stale.method);
		if (stale === undefined || body === undefined) {
			this.#state = filterStates.passing;
			return bytes;
		}

		this.notifyStale(stale.requestId);
		this.#body = body;
		this.#state = filterStates.body;
		return bytes.subarray(bodyStart);
	}

	#findStale({status, headers}: AnswerHead): PreviousRequest | undefined {
		const requestId = this.#current?.readRequestId(status, headers);
		return requestId === undefined || requestId === this.#current?.requestId
			? undefined
			: this.#previous.findLast(previous => previous.requestId === requestId);
	}

	#skipBody(bytes: Buffer): Buffer | undefined {
		const rest = this.#body!.skip(bytes);
		if (this.#body!.isAtEnd) {
			this.#state = filterStates.head;
		}

		return rest;
	}
}

/** Skips the body of one answer. */
type BodySkipper = {
	readonly isAtEnd: boolean;
	/** Returns the bytes that are not skipped yet; undefined when more are needed first. */
	skip: (bytes: Buffer) => Buffer | undefined;
};

class LengthSkipper implements BodySkipper {
	constructor(private leftBytes: number) {}

	get isAtEnd(): boolean {
		return this.leftBytes === 0;
	}

	skip(bytes: Buffer): Buffer {
		const count = Math.min(this.leftBytes, bytes.length);
		this.leftBytes -= count;
		return bytes.subarray(count);
	}
}

class ChunkSkipper implements BodySkipper {
	isAtEnd = false;
	/** Bytes of the current chunk that follow, with its line end. */
	#leftBytes = 0;
	/** True after the last chunk, while trailers follow. */
	#isInTrailers = false;

	skip(bytes: Buffer): Buffer | undefined {
		if (this.#leftBytes > 0) {
			const count = Math.min(this.#leftBytes, bytes.length);
			this.#leftBytes -= count;
			return bytes.subarray(count);
		}

		const end = bytes.indexOf(lineEnd);
		if (end === -1) {
			return undefined;
		}

		const line = bytes.subarray(0, end).toString('latin1');
		if (this.#isInTrailers) {
			this.isAtEnd = line === '';
		} else {
			const size = Number.parseInt(line, 16) || 0;
			this.#isInTrailers = size === 0;
			this.#leftBytes = size === 0 ? 0 : size + lineEnd.length;
		}

		return bytes.subarray(end + lineEnd.length);
	}
}

/** Creates the skipper of a body; undefined when only the end of the connection ends it. */
const createBodySkipper = ({status, headers}: AnswerHead, method: string): BodySkipper | undefined => {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return new LengthSkipper(0);
	}

	if (headers['transfer-encoding'] !== undefined) {
		return headers['transfer-encoding'].toLowerCase() === 'chunked' ? new ChunkSkipper() : undefined;
	}

	const length = Number(headers['content-length'] ?? Number.NaN);
	return Number.isSafeInteger(length) && length >= 0 ? new LengthSkipper(length) : undefined;
};

const parseHead = (text: string): AnswerHead | undefined => {
	const [statusLine = '', ...lines] = text.split(lineEnd);
	const status = /^HTTP\/1\.[01] (\d{3})/v.exec(statusLine)?.[1];
	if (status === undefined) {
		return undefined;
	}

	const headers: IncomingHttpHeaders = {};
	for (const line of lines) {
		const at = line.indexOf(':');
		if (at > 0) {
			headers[line.slice(0, at).trim().toLowerCase()] = line.slice(at + 1).trim();
		}
	}

	return {status: Number(status), headers};
};
