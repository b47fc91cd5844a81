import {randomBytes} from 'node:crypto';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {EngineOrderCodec, RelayBounds} from '../contracts.js';
import type {KnownServer} from '../store-state/store-state-task.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {BackendConnections} from './backend-connections.js';
import {sendOrder, type OrderResult} from './engine-orders.js';

/** Share of the lease after which it is renewed, so that two lost renewals do not end it. */
const renewShare = 0.35;

/** Orders are few and short, so they need not fit into the share of connections for requests. */
const orderConnectionLimit = Number.POSITIVE_INFINITY;

/** Memory to reserve on one engine. */
export type ReservedPart = {server: KnownServer; tokens: number};

/** What reservations need. */
export type ReservationServices = {
	connections: BackendConnections;
	orders: EngineOrderCodec;
	timer: TimerService;
	log: DecisionLog;
	/** `reservationMs` is the lifetime of a lease: when its entry dies, the memory must be free again within this time. */
	bounds: Pick<RelayBounds, 'reservationMs'>;
};

/** Memory reserved on several engines for one prompt. */
export type MemoryReservation = {
	/** Reservation by engine id. */
	ids: ReadonlyMap<string, string>;
	/** Gives all memory back. */
	release: () => void;
};

/**
 * Reserves memory on all engines or on none. The engines are asked in the order of their ids and nothing waits
 * on an engine, so that two prompts never hold half of the engines each.
 */
export const reserveMemory = async (services: ReservationServices, parts: readonly ReservedPart[], requestId: string | undefined): Promise<MemoryReservation | undefined> => {
	const {orders, timer, log, bounds: {reservationMs: leaseMs}} = services;
	const id = randomBytes(6).toString('hex');
	const held: ReservedPart[] = [];
	const order = async ({server}: ReservedPart, body: string): Promise<OrderResult> => {
		const connection = services.connections.acquire(server, orderConnectionLimit);
		return connection === undefined ? 'refused' : sendOrder(connection, orders, {serverId: server.id, body});
	};

	/** Renewals that are on their way. */
	const renewals = new Map<ReservedPart, Promise<OrderResult>>();
	const renew = async (part: ReservedPart): Promise<void> => {
		const renewal = order(part, orders.encodeReservation({id, tokens: part.tokens, holdMs: leaseMs}));
		renewals.set(part, renewal);
		await renewal;
		if (renewals.get(part) === renewal) {
			renewals.delete(part);
		}
	};

	const release = (): void => {
		for (const part of held) {
			void releasePart(part, order, {body: orders.encodeRelease(id), renewal: renewals.get(part)}, result => {
				log.writeRequest('reservation.release_failed', requestId, {server: part.server.id, reservation: id, result});
			});
		}
	};

	for (const part of parts.toSorted((a, b) => a.server.id < b.server.id ? -1 : 1)) {
		const result = await order(part, orders.encodeReservation({id, tokens: part.tokens, holdMs: leaseMs}));
		// An order without an answer may have been carried out, so it is released like one that was.
		if (result !== 'refused') {
			held.push(part);
		}

		if (result !== 'done') {
			log.writeRequest('reservation.failed', requestId, {
				server: part.server.id, reservation: id, tokens: part.tokens, result,
			});
			release();
			return undefined;
		}
	}

	const unsubscribe = timer.subscribe(Math.round(leaseMs * renewShare), () => {
		for (const part of held) {
			void renew(part);
		}
	});
	return {
		ids: new Map(held.map(({server}) => [server.id, id])),
		release() {
			unsubscribe();
			release();
		},
	};
};

/**
 * Releases once more when the first order had no answer; after that the lease ends by itself. A renewal that was on its way
 * may be carried out after the release and set the memory aside again, so the release is repeated after its answer.
 */
const releasePart = async (
	part: ReservedPart,
	order: (part: ReservedPart, body: string) => Promise<OrderResult>,
	{body, renewal}: {body: string; renewal: Promise<OrderResult> | undefined},
	reportFailure: (result: OrderResult) => void,
): Promise<void> => {
	const [first] = await Promise.all([order(part, body), renewal]);
	const result = first === 'unknown' || renewal !== undefined ? await order(part, body) : first;
	if (result !== 'done') {
		reportFailure(result);
	}
};
