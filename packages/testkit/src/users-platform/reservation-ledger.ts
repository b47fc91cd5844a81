import {setTimeout as sleep} from 'node:timers/promises';

/** Order to reserve memory on a runner for `holdMs`, or to release it; as sent on the wire. */
export type ReservationOrder = {op: 'reserve' | 'release'; id: string; tokens?: number; holdMs?: number};

type Reservation = {tokens: number; endsAt: number};

const okStatus = 200;
const insufficientMemoryStatus = 409;

/** Memory reserved on a stand-in runner, with all orders in order of arrival. */
export class ReservationLedger {
	readonly orders: ReservationOrder[] = [];
	/** Most tokens that may be reserved at the same time; orders beyond it are refused. */
	memoryTokens = Number.POSITIVE_INFINITY;
	/** Number of orders, from the next one on, that are lost with their connection. */
	lostOrders = 0;

	constructor(private readonly held = new Map<string, Reservation>()) {}

	/** Delay before an order takes effect, in ms, given the number of earlier orders. */
	computeDelayMs: (order: ReservationOrder, earlierOrders: number) => number = () => 0;

	/** Runs an order after its delay; returns the HTTP status of the answer. */
	async handleOrder(text: string): Promise<number> {
		const order = JSON.parse(text) as ReservationOrder;
		const delayMs = this.computeDelayMs(order, this.orders.length);
		this.orders.push(order);
		if (delayMs > 0) {
			await sleep(delayMs);
		}

		if (order.op === 'release') {
			this.held.delete(order.id);
			return okStatus;
		}

		const tokens = order.tokens ?? 0;
		if (this.countTokens(order.id) + tokens > this.memoryTokens) {
			return insufficientMemoryStatus;
		}

		this.held.set(order.id, {tokens, endsAt: Date.now() + (order.holdMs ?? 0)});
		return okStatus;
	}

	/** Counts the tokens of the reservations that have not expired, excluding one reservation. */
	countTokens(excludedId?: string): number {
		const now = Date.now();
		let sum = 0;
		for (const [id, {tokens, endsAt}] of this.held) {
			sum += id !== excludedId && endsAt > now ? tokens : 0;
		}

		return sum;
	}
}
