import {randomBytes} from 'node:crypto';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {EngineOrderCodec, RelayBounds, WireCodec} from '../contracts.js';
import {misdirectedStatus} from '../front/attempt-result.js';
import type {ServerNoticeTask} from '../server-notices/server-notice-task.js';
import type {KnownServer, StoreStateTask} from '../store-state/store-state-task.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {BackendConnections} from './backend-connections.js';
import {sendOrder, type OrderResult} from './engine-orders.js';

/** Renewal interval as a share of the lease, short enough that the lease survives a lost renewal and its repetition. */
const renewShare = 0.35;

/** Delay before a renewal without an answer is repeated, in ms. */
const renewalRetryMs = 100;

/**
 * Lease as a share of the time in which memory must be released after its last request. The rest covers a renewal that arrives after
 * the engine has ended the request, when the entry ends as well and cannot release the memory.
 */
const leaseShare = 0.9;

/** Orders are few and short, so they are exempt from the connection limit for requests. */
const orderConnectionLimit = Number.POSITIVE_INFINITY;

/** KV tokens to reserve on one engine. */
export type ReservedPart = {server: KnownServer; tokens: number};

/** Services that reservations use. */
export type ReservationServices = {
	connections: BackendConnections;
	orders: EngineOrderCodec;
	wire: Pick<WireCodec, 'decodeAnswer'>;
	serverNotices: ServerNoticeTask;
	storeState: Pick<StoreStateTask, 'findServer'>;
	timer: TimerService;
	log: DecisionLog;
	/** `reservationMs` bounds how long memory stays reserved after the entry has crashed. */
	bounds: Pick<RelayBounds, 'reservationMs'>;
};

/** Memory reserved on several engines for one prompt. */
export type MemoryReservation = {
	/** Reservation id by engine id. */
	ids: ReadonlyMap<string, string>;
	/** Releases the memory on all engines and stops the renewals. */
	release: () => void;
};

/**
 * Reserves memory on all engines or on none; returns undefined when an engine refuses or does not answer. The orders
 * are sent in the order of the engine ids, and an engine refuses at once instead of queuing an order. Two prompts therefore
 * cannot deadlock by each holding memory that the other needs.
 */
export const reserveMemory = async (services: ReservationServices, parts: readonly ReservedPart[], requestId: string | undefined): Promise<MemoryReservation | undefined> => {
	const {orders, wire, serverNotices, storeState, timer, log, bounds} = services;
	const id = randomBytes(6).toString('hex');
	const held: ReservedPart[] = [];
	const sendPartOrder = async ({server}: ReservedPart, body: string, {ignoresRefusal = true} = {}): Promise<OrderResult> => {
		const connection = services.connections.acquire(server, orderConnectionLimit, {ignoresRefusal});
		if (connection === undefined) {
			return 'refused';
		}

		const sentAt = timer.now();
		return sendOrder(connection, orders, {
			serverId: server.id, body, notifyAnswer(status, headers) {
				if (status !== misdirectedStatus) {
					serverNotices.recordAnswer(server, wire.decodeAnswer(status, headers), {sentAt, tunnelPeerId: connection.tunnelPeerId});
				}
			},
		});
	};

	/** Renewals without an answer so far. */
	const renewals = new Map<ReservedPart, Promise<OrderResult>>();
	/** Parts whose memory was lost when their engine started again. */
	const lost = new Set<ReservedPart>();
	let isReleased = false;
	/** Renews a part, and once more when that has no answer. */
	const renew = async (part: ReservedPart, retries = 1): Promise<void> => {
		if (isReplaced(part.server, storeState.findServer(part.server.id))) {
			if (!lost.has(part)) {
				lost.add(part);
				log.writeRequest('reservation.lost', requestId, {server: part.server.id, reservation: id});
			}

			return;
		}

		const renewal = sendPartOrder(part, orders.encodeReservation({id, tokens: part.tokens, holdMs: leaseMs}));
		renewals.set(part, renewal);
		const result = await renewal;
		if (renewals.get(part) === renewal) {
			renewals.delete(part);
		}

		if (result === 'done' || isReleased) {
			return;
		}

		log.writeRequest('reservation.renewal_failed', requestId, {server: part.server.id, reservation: id, result});
		if (result === 'unknown' && retries > 0) {
			await waitFor(timer, renewalRetryMs);
			if (!isReleased && !renewals.has(part)) {
				await renew(part, retries - 1);
			}
		}
	};

	const release = (): void => {
		isReleased = true;
		for (const part of held) {
			void releasePart(part, sendPartOrder, {body: orders.encodeRelease(id), renewal: renewals.get(part)}, result => {
				log.writeRequest('reservation.release_failed', requestId, {server: part.server.id, reservation: id, result});
			});
		}
	};

	/** Lease of the orders until the next renewals; the bound can change meanwhile. */
	let leaseMs = bounds.reservationMs * leaseShare;
	let cancelRenewals = (): void => undefined;
	const scheduleRenewals = (): void => {
		const previousLeaseMs = leaseMs;
		leaseMs = bounds.reservationMs * leaseShare;
		// The previous lease still runs until a renewal with the new one has arrived.
		cancelRenewals = timer.schedule(Math.round(Math.min(previousLeaseMs, leaseMs) * renewShare), () => {
			scheduleRenewals();
			for (const part of held) {
				void renew(part);
			}
		});
	};

	const endReservation = (): void => {
		cancelRenewals();
		release();
	};

	const reserveAll = async (): Promise<boolean> => {
		for (const part of parts.toSorted((a, b) => a.server.id < b.server.id ? -1 : 1)) {
			const body = orders.encodeReservation({id, tokens: part.tokens, holdMs: leaseMs});
			const result = serverNotices.isRefusingRequests(part.server) ? 'refused' : await sendPartOrder(part, body, {ignoresRefusal: false});
			// An order without an answer may have been executed, so its memory is released as well.
			if (result !== 'refused') {
				held.push(part);
			}

			if (result !== 'done') {
				log.writeRequest('reservation.failed', requestId, {
					server: part.server.id, reservation: id, tokens: part.tokens, result,
				});
				return false;
			}
		}

		return true;
	};

	// The leases of the first parts run while further ones are being reserved.
	scheduleRenewals();
	try {
		if (!(await reserveAll())) {
			endReservation();
			return undefined;
		}
	} catch (error) {
		endReservation();
		throw error;
	}

	return {
		ids: new Map(held.map(({server}) => [server.id, id])),
		release: endReservation,
	};
};

/** True when another incarnation of a server is listed, on which a renewal would reserve memory anew. */
const isReplaced = (server: KnownServer, listed: KnownServer | undefined): boolean =>
	server.bootId !== undefined && listed?.bootId !== undefined && listed.bootId !== server.bootId;

/**
 * Sends a release order, and a second one when the first has no answer; when that fails too, the memory is freed at the end of
 * its lease. An unanswered renewal may be executed after the release and reserve the memory again, so the release is then
 * repeated after the renewal has ended.
 */
const releasePart = async (
	part: ReservedPart,
	sendPartOrder: (part: ReservedPart, body: string) => Promise<OrderResult>,
	{body, renewal}: {body: string; renewal: Promise<OrderResult> | undefined},
	reportFailure: (result: OrderResult) => void,
): Promise<void> => {
	const [first] = await Promise.all([sendPartOrder(part, body), renewal]);
	const result = first === 'unknown' || renewal !== undefined ? await sendPartOrder(part, body) : first;
	if (result !== 'done') {
		reportFailure(result);
	}
};
