import {setTimeout as sleep} from 'node:timers/promises';

/** An order to set memory aside or to give it back. */
export type ReservationOrder = {op: 'reserve' | 'release'; id: string; tokens?: number; holdMs?: number};

type Reservation = {tokens: number; endsAt: number};

const okStatus = 200;
const notFreeStatus = 409;

/** Memory that is set aside on a stand-in of a runner, with the orders as they were carried out. */
export class ReservationLedger {
	readonly orders: ReservationOrder[] = [];
	/** Tokens that may be set aside; further orders are refused. */
	memoryTokens = Number.POSITIVE_INFINITY;

	constructor(private readonly held = new Map<string, Reservation>()) {}

	/** Time by which an order is carried out late, in ms. */
	computeDelayMs: (order: ReservationOrder, earlier: number) => number = () => 0;

	/** Carries an order out; returns the status of its answer. */
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
			return notFreeStatus;
		}

		this.held.set(order.id, {tokens, endsAt: Date.now() + (order.holdMs ?? 0)});
		return okStatus;
	}

	/** Tokens set aside now, without those of one reservation. */
	countTokens(exceptId?: string): number {
		const now = Date.now();
		let sum = 0;
		for (const [id, {tokens, endsAt}] of this.held) {
			sum += id !== exceptId && endsAt > now ? tokens : 0;
		}

		return sum;
	}
}
