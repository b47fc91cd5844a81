/** The change that an order makes to the state of an engine. */
export type OrderTarget = {
	serverId: string;
	/** Part of the engine's state that the order changes; a later order for the same part replaces this one. */
	kind: 'load_model' | 'load_adapter' | 'set_role';
	target: string;
	version?: string | undefined;
};

/** An order as sent to an engine, with its fencing number and lifetime. */
export type EngineOrderRecord = OrderTarget & {
	orderId: string;
	fencingNumber: number;
	/** Time left until the engine ignores the order, in ms at sending time. */
	expiresInMs: number;
};

/** State of an engine as read to confirm that an order took effect. */
export type EngineOrderState = {
	model: string;
	version: string;
	adapters: string[];
	role: string;
};

/** Whether this entry may send orders to an engine, and with which fencing number. */
export type OrderLease = {
	/** False when the lease of this entry has lapsed or the entry does not own the server. */
	isOwner: boolean;
	fencingNumber: number;
};

/** Inputs of the order tracker. */
export type OrderEvent =
	| {type: 'request'; orderId: string; target: OrderTarget}
	/** The engine accepted the order, refused its fencing number (`stale`), or its answer was lost. */
	| {type: 'answer'; orderId: string; result: 'accepted' | 'stale' | 'lost'}
	/** The engine's state, read at or after `sentAt`. */
	| {type: 'state'; serverId: string; state: EngineOrderState; sentAt: number}
	| {type: 'tick'};

/** Outputs of the order tracker: send an order, read an engine's state, or report how an order ended. */
export type OrderCommand =
	| {type: 'send'; order: EngineOrderRecord}
	| {type: 'readBack'; serverId: string}
	| {type: 'finished'; orderId: string; result: OrderOutcome};

/** How an order ended: in effect, without ownership of the engine, or replaced by a later order for the same part. */
export type OrderOutcome = 'in_effect' | 'ownership_lost' | 'replaced';

/** Timing of the order tracker. */
export type EngineOrderTrackerOptions = {
	/** Lifetime of an order in ms. */
	orderLifetimeMs?: number;
	/** Time in ms between reads of the engine's state. */
	readBackMs?: number;
};

type OpenOrder = {
	orderId: string;
	target: OrderTarget;
	expiresAt: number;
	/** Time at which the order was first sent; orders of a former owner have all expired one lifetime later. */
	firstSentAt: number;
	nextReadAt: number;
	isAccepted: boolean;
};

/** Default lifetime of an order in ms. */
export const orderLifetimeMs = 5000;

/**
 * Tracks the orders of this entry to engines until they are confirmed to be in effect. Engines that check the fencing
 * number refuse orders of former owners. At engines that ignore it, such an order can still arrive until it expires, so
 * the tracker reads the engine's state for one lifetime and sends the order again when the state differs.
 */
export class EngineOrderTracker {
	readonly #orders = new Map<string, OpenOrder>();
	readonly #lifetimeMs: number;
	readonly #readBackMs: number;

	constructor(options: EngineOrderTrackerOptions = {}) {
		this.#lifetimeMs = options.orderLifetimeMs ?? orderLifetimeMs;
		this.#readBackMs = options.readBackMs ?? 500;
	}

	/** Number of orders that have not ended. */
	get size(): number {
		return this.#orders.size;
	}

	/** Applies an event and returns the commands to run; `getLease` is called right before each order is sent. */
	handle(event: OrderEvent, getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		switch (event.type) {
			case 'request': {
				return this.#acceptRequest(event.orderId, event.target, getLease, now);
			}

			case 'answer': {
				return this.#acceptAnswer(event.orderId, event.result, now);
			}

			case 'state': {
				return this.#acceptState(event, getLease, now);
			}

			case 'tick': {
				return this.#handleTick(getLease, now);
			}
		}
	}

	#acceptRequest(orderId: string, target: OrderTarget, getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		const commands: OrderCommand[] = [];
		for (const [key, other] of this.#orders) {
			if (isSamePart(other.target, target)) {
				this.#orders.delete(key);
				commands.push({type: 'finished', orderId: other.orderId, result: 'replaced'});
			}
		}

		const order: OpenOrder = {
			orderId, target, expiresAt: now, firstSentAt: now, nextReadAt: now, isAccepted: false,
		};
		this.#orders.set(orderId, order);
		return [...commands, ...this.#send(order, getLease, now)];
	}

	#send(order: OpenOrder, getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		const {isOwner, fencingNumber} = getLease(order.target.serverId);
		if (!isOwner) {
			return this.#endOrder(order, 'ownership_lost');
		}

		order.expiresAt = now + this.#lifetimeMs;
		order.nextReadAt = now + this.#readBackMs;
		order.isAccepted = false;
		const record = {
			...order.target, orderId: order.orderId, fencingNumber, expiresInMs: this.#lifetimeMs,
		};
		return [{type: 'send', order: record}];
	}

	#acceptAnswer(orderId: string, result: 'accepted' | 'stale' | 'lost', now: number): OrderCommand[] {
		const order = this.#orders.get(orderId);
		if (order === undefined) {
			return [];
		}

		if (result === 'stale') {
			return this.#endOrder(order, 'ownership_lost');
		}

		order.isAccepted ||= result === 'accepted';
		order.nextReadAt = now + this.#readBackMs;
		return [{type: 'readBack', serverId: order.target.serverId}];
	}

	#acceptState(event: OrderEvent & {type: 'state'}, getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		const orders = [...this.#orders.values()].filter(order => order.target.serverId === event.serverId);
		return orders.flatMap(order => this.#checkState(order, event, getLease, now));
	}

	#checkState(order: OpenOrder, event: OrderEvent & {type: 'state'}, getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		if (!isInEffect(order.target, event.state)) {
			// A read that was sent before the order does not show its effect.
			const isOutdated = event.sentAt < order.expiresAt - this.#lifetimeMs;
			return isOutdated || (!order.isAccepted && now < order.expiresAt) ? [] : this.#send(order, getLease, now);
		}

		return event.sentAt >= order.firstSentAt + this.#lifetimeMs ? this.#endOrder(order, 'in_effect') : [];
	}

	#handleTick(getLease: (serverId: string) => OrderLease, now: number): OrderCommand[] {
		const servers = new Set<string>();
		const commands: OrderCommand[] = [];
		for (const order of this.#orders.values()) {
			if (!getLease(order.target.serverId).isOwner) {
				commands.push(...this.#endOrder(order, 'ownership_lost'));
			} else if (now >= order.nextReadAt) {
				order.nextReadAt = now + this.#readBackMs;
				servers.add(order.target.serverId);
			}
		}

		return [...commands, ...[...servers].map(serverId => ({type: 'readBack' as const, serverId}))];
	}

	#endOrder(order: OpenOrder, result: OrderOutcome): OrderCommand[] {
		this.#orders.delete(order.orderId);
		return [{type: 'finished', orderId: order.orderId, result}];
	}
}

/** Adapters are independent of each other; an engine has one model and one role. */
const isSamePart = (a: OrderTarget, b: OrderTarget): boolean =>
	a.serverId === b.serverId && a.kind === b.kind && (a.kind !== 'load_adapter' || a.target === b.target);

const isInEffect = (order: OrderTarget, state: EngineOrderState): boolean => {
	if (order.kind === 'load_model') {
		return state.model === order.target && (order.version === undefined || state.version === order.version);
	}

	return order.kind === 'load_adapter' ? state.adapters.includes(order.target) : state.role === order.target;
};
