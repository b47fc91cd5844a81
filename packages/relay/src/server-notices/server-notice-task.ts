import {
	LeavingServers, ServerBackoffTable, type ServerHold, type ServerIncarnation,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {AnswerEnvelope} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {NoticeReport, ServerNotice} from './notice-report.js';

/** Interval at which notices are sent again, in ms, and number of repetitions, since datagrams may be lost. */
const resendMs = 500;
const resendCount = 2;
/** Most servers that one log line names. */
const describedServerLimit = 8;

/** Dependencies of the server notice task. */
export type ServerNoticeOptions = {
	entryId: string;
	failureDomain: string;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	/** Ids of the entries whose connections to a backend server this entry passes on. */
	listTunnelSenders: (serverId: string) => string[];
	/** Sends a report to one entry, or to all that this entry reports to. */
	sendNoticeReport: (report: NoticeReport, recipientId?: string) => void;
	/** True when this entry passes the reports of a failure domain on to other entries. */
	isForwarder: (failureDomain: string) => boolean;
};

/** A notice that is still to be sent again, at the time of its last sending. */
type Resend = {notice: ServerNotice; sentAt: number; recipientId: string | undefined; left: number};

/** A backend server that gets no request now, as described in the log; times in ms. */
export type DescribedHold = {server: string; leftMs: number; ageMs: number};

/** What backend servers say of themselves in their answers: that they want no requests for a time, or that they leave. */
export class ServerNoticeTask {
	readonly #options: ServerNoticeOptions;
	readonly #backoffs = new ServerBackoffTable();
	readonly #leaving = new LeavingServers();
	#resends: Resend[] = [];
	#unsubscribe: (() => void) | undefined;

	constructor(options: ServerNoticeOptions) {
		this.#options = options;
	}

	start(): void {
		this.#unsubscribe = this.#options.timer.subscribe(resendMs, now => {
			this.#resend(now);
		});
	}

	stop(): void {
		this.#unsubscribe?.();
	}

	/** Records an answer of a server to a request that was sent at `sentAt`; `tunnelPeerId` is the entry that passed both on, if any. */
	recordAnswer(server: ServerIncarnation, {backoffMs, isLeaving}: Pick<AnswerEnvelope, 'backoffMs' | 'isLeaving'>, {sentAt, tunnelPeerId}: {sentAt: number; tunnelPeerId: string | undefined}): void {
		const {id, bootId} = server;
		if (backoffMs === undefined) {
			this.#backoffs.recordAccepted(server, sentAt);
		}

		if (backoffMs === undefined && !isLeaving) {
			return;
		}

		this.#record({
			id, bootId, backoffMs, isLeaving, ageMs: 0,
		}, {source: 'observed', tunnelPeerId});
	}

	/** Merges what another entry reports. */
	acceptNoticeReport({entryId, failureDomain, notices}: NoticeReport): void {
		for (const notice of notices) {
			this.#record(notice, {source: entryId, failureDomain});
		}
	}

	/** Tells an entry that has just started which servers leave. */
	handleEntryStarted(recipientId: string): void {
		const now = this.#options.timer.now();
		const notices = this.#leaving.list().map(({id, bootId, toldAt}): ServerNotice => ({
			id, bootId, backoffMs: undefined, isLeaving: true, ageMs: now - toldAt,
		}));
		if (notices.length > 0) {
			this.#send(notices, recipientId);
		}
	}

	/** True once a server has said that it leaves. */
	isLeaving(server: ServerIncarnation): boolean {
		return this.#leaving.has(server);
	}

	/** True when no request may reach a server: it backs off or leaves. */
	isRefusingRequests(server: ServerIncarnation): boolean {
		return this.isLeaving(server) || this.#backoffs.isBackingOff(server, this.#options.timer.now());
	}

	/** Why no request may be placed on a server now; undefined when one may. */
	getHold(server: ServerIncarnation): ServerHold | undefined {
		return this.#backoffs.getHold(server, this.#options.timer.now());
	}

	/** True when the backoff of a server has ended, but it may still turn requests away. */
	isUnconfirmed(server: ServerIncarnation): boolean {
		return this.#backoffs.isUnconfirmed(server, this.#options.timer.now());
	}

	/** Records that a request is placed on a server. */
	recordSent(server: ServerIncarnation): void {
		this.#backoffs.recordSent(server, this.#options.timer.now());
	}

	/** Describes for the log which of these servers get no request now; undefined for none. */
	describeHolds(servers: readonly ServerIncarnation[]): DescribedHold[] | undefined {
		if (this.#backoffs.size === 0) {
			return undefined;
		}

		const holds = servers.flatMap(server => {
			const hold = this.getHold(server);
			return hold === undefined ? [] : [{server: server.id, leftMs: Math.round(hold.leftMs), ageMs: Math.round(hold.ageMs)}];
		});
		return holds.length === 0 ? undefined : holds.slice(0, describedServerLimit);
	}

	#record(notice: ServerNotice, {source, tunnelPeerId, failureDomain}: {source: string; tunnelPeerId?: string | undefined; failureDomain?: string}): void {
		const {timer, isForwarder} = this.#options;
		const now = timer.now();
		const {isLeaving, backoffMs, ageMs} = notice;
		const isNewLeaving = isLeaving && this.#leaving.add(notice, now - ageMs);
		const isNewBackoff = backoffMs !== undefined && this.#backoffs.record(notice, backoffMs, {now, ageMs});
		if (isNewLeaving) {
			this.#logNotice('server.leaving', notice, source);
			// An entry of the sender's failure domain has the report from the sender itself.
			if (failureDomain === undefined || isForwarder(failureDomain)) {
				this.#send([{...notice, backoffMs: undefined}]);
			}
		}

		if (isNewBackoff) {
			this.#logNotice('server.backoff', notice, source);
			const users = this.#options.listTunnelSenders(notice.id).filter(id => id !== source);
			for (const recipientId of new Set([...users, ...(tunnelPeerId === undefined ? [] : [tunnelPeerId])])) {
				this.#send([notice], recipientId);
			}
		}
	}

	#logNotice(event: string, {id, bootId, backoffMs, ageMs}: ServerNotice, source: string): void {
		const {log, metrics} = this.#options;
		metrics.countEvent(event);
		log.write(event, {
			server: id, bootId, backoffMs: backoffMs === undefined ? undefined : Math.round(backoffMs), source, ageMs: Math.round(ageMs),
		});
	}

	#resend(now: number): void {
		const resends = this.#resends;
		this.#resends = [];
		for (const {notice, sentAt, recipientId, left} of resends) {
			const elapsedMs = now - sentAt;
			const backoffMs = notice.backoffMs === undefined ? undefined : notice.backoffMs - elapsedMs;
			if (notice.isLeaving || (backoffMs ?? 0) > 0) {
				this.#send([{...notice, backoffMs, ageMs: notice.ageMs + elapsedMs}], recipientId, left);
			}
		}
	}

	/** Sends notices, and again as many times as `repetitions` says. */
	#send(notices: ServerNotice[], recipientId?: string, repetitions = resendCount): void {
		const {entryId, failureDomain, sendNoticeReport, timer} = this.#options;
		if (repetitions > 0) {
			const sentAt = timer.now();
			this.#resends.push(...notices.map(notice => ({
				notice, sentAt, recipientId, left: repetitions - 1,
			})));
		}

		sendNoticeReport({entryId, failureDomain, notices}, recipientId);
	}
}
