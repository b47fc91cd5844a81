import {
	memoryKinds, selectEvictedBody, type ArrivingBody, type MemoryHold, type MemoryLedger,
} from '@knapweedrack/core';
import {SmallPartQueue} from './small-part-queue.js';

/** Share of the memory of bodies for those that are not complete; the rest is for complete ones, so that ordinary requests are not blocked by unfinished ones. */
const arrivalShare = 2 / 3;

/** A body in arrival; its memory stays held after `complete` until the hold is released. */
export type BodyArrival = {
	readonly hold: MemoryHold;
	/** Reserves memory, and evicts other bodies for it if need be; false when there is no room, or when this is the body to evict. */
	tryReserve: (bytes: number) => boolean;
	/** Ends the arrival; `keptBytes` stay held, 0 when the body is given up. */
	end: (keptBytes: number) => void;
};

type Arrival = ArrivingBody & {hold: MemoryHold; evict: () => void};

/** Bodies of callers that are not complete, in bounded memory. */
export class BodyArrivals {
	/** Bodies that arrive in very small parts. */
	readonly smallParts = new SmallPartQueue();
	readonly #arrivals = new Set<Arrival>();
	readonly #limitBytes: number;
	#bytes = 0;

	constructor(private readonly memory: MemoryLedger, private readonly now: () => number) {
		this.#limitBytes = memory.limits.kindBytes.body * arrivalShare;
	}

	/** Bytes held for bodies that are not complete. */
	get heldBytes(): number {
		return this.#bytes;
	}

	/** Begins the arrival of a body; `evict` is called when it has to make room for others, after its memory was returned. */
	begin(workspace: string | undefined, evict: () => void): BodyArrival {
		const arrival: Arrival = {
			workspace, heldBytes: 0, startedAt: this.now(), hold: this.memory.open({kind: memoryKinds.body, workspace}), evict,
		};
		this.#arrivals.add(arrival);
		return {
			hold: arrival.hold,
			tryReserve: bytes => this.#tryReserve(arrival, bytes),
			end: keptBytes => {
				if (this.#arrivals.has(arrival)) {
					this.#remove(arrival);
					arrival.hold.remove(arrival.hold.bytes - keptBytes);
				}
			},
		};
	}

	#tryReserve(arrival: Arrival, bytes: number): boolean {
		while (this.#arrivals.has(arrival)) {
			const hasShare = this.#bytes + bytes <= this.#limitBytes;
			if (hasShare && arrival.hold.tryAdd(bytes)) {
				arrival.heldBytes += bytes;
				this.#bytes += bytes;
				return true;
			}

			// When the workspace has no room in the ledger, only its own bodies can make some.
			const evicted = selectEvictedBody(this.#arrivals, this.now(), hasShare && this.#isWorkspaceFull(arrival, bytes) ? arrival : undefined);
			if (evicted === undefined || evicted === arrival) {
				return false;
			}

			this.#remove(evicted);
			evicted.hold.release();
			evicted.evict();
		}

		return false;
	}

	#isWorkspaceFull({workspace}: Arrival, bytes: number): boolean {
		return this.memory.getAccountBytes({kind: memoryKinds.body, workspace}) + bytes > this.memory.limits.workspaceBytes.body;
	}

	#remove(arrival: Arrival): void {
		this.#arrivals.delete(arrival);
		this.#bytes -= arrival.heldBytes;
	}
}
