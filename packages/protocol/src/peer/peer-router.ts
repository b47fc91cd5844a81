import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import type {
	FingerprintRecord, Heartbeat, PermitReply, PermitRequest,
} from '@knapweedrack/core';
import {fingerprintRecordSchema} from '../state/state-records.js';
import {
	fingerprintReportSchema, heartbeatSchema, permitReleaseSchema, permitRenewalSchema, permitRequestSchema,
	permitWithdrawalSchema, sliceRequestSchema,
	type FingerprintReport, type FingerprintStanding, type PermitRelease, type PermitRenewal, type PermitWithdrawal,
	type Slice, type SliceRequest,
} from './peer-records.js';

/** Largest number of records in one batch. */
export const peerBatchLimit = 1000;

/** Implementations of the procedures that other entries and the command line call. */
export type PeerHandlers = {
	/** True when the secret is one of the accepted ones; compared in constant time. */
	isAuthorized: (secret: string | undefined) => boolean;
	requestPermit: (request: PermitRequest) => Promise<PermitReply>;
	releasePermits: (releases: PermitRelease[]) => void;
	renewPermits: (renewal: PermitRenewal) => {unknownPermitIds: string[]};
	withdrawPermits: (withdrawals: PermitWithdrawal[]) => void;
	requestSlices: (requests: SliceRequest[]) => Slice[];
	acceptHeartbeat: (heartbeat: Heartbeat) => Heartbeat;
	fetchConfiguration: () => {manifest: unknown; chunks: Record<string, unknown>} | undefined;
	fetchAvailability: () => unknown;
	checkFingerprint: (fingerprint: string) => Promise<FingerprintStanding>;
	reportFingerprint: (report: FingerprintReport) => Promise<FingerprintStanding>;
	/** Accepts the record of suspect or quarantined content before the store's watch delivers it. */
	notifyFingerprint: (record: FingerprintRecord) => void;
	/** Returns whether this entry issues permits for a backend server. */
	queryOwnership: (serverId: string) => {isIssuing: boolean; fencingNumber: number};
	getStatus: () => unknown;
	explainRequest: (requestId: string) => unknown;
};

/** Context of one call: the peer secret that the connection presented. */
export type PeerContext = {secret: string | undefined};

/** Creates the tRPC router of the peer listener; every procedure requires a valid peer secret. */
export const createPeerRouter = (handlers: PeerHandlers) => {
	const {router, procedure} = initTRPC.context<PeerContext>().create();
	const authorized = procedure.use(async ({ctx, next}) => {
		if (!handlers.isAuthorized(ctx.secret)) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: 'peer secret is missing or not accepted'});
		}

		return next();
	});

	return router({
		permits: router({
			request: authorized.input(permitRequestSchema).mutation(async ({input}) => handlers.requestPermit(input)),
			release: authorized.input(z.array(permitReleaseSchema).max(peerBatchLimit)).mutation(({input}) => {
				handlers.releasePermits(input);
			}),
			renew: authorized.input(permitRenewalSchema).mutation(({input}) => handlers.renewPermits(input)),
			withdraw: authorized.input(z.array(permitWithdrawalSchema).max(peerBatchLimit)).mutation(({input}) => {
				handlers.withdrawPermits(input);
			}),
		}),
		limits: router({
			slice: authorized.input(z.array(sliceRequestSchema).max(peerBatchLimit)).mutation(({input}) => handlers.requestSlices(input)),
		}),
		membership: router({
			heartbeat: authorized.input(heartbeatSchema).mutation(({input}) => handlers.acceptHeartbeat(input)),
		}),
		configuration: router({
			fetch: authorized.query(() => handlers.fetchConfiguration()),
		}),
		availability: router({
			fetch: authorized.query(() => handlers.fetchAvailability()),
		}),
		quarantine: router({
			check: authorized.input(z.string()).query(async ({input}) => handlers.checkFingerprint(input)),
			report: authorized.input(fingerprintReportSchema).mutation(async ({input}) => handlers.reportFingerprint(input)),
			notify: authorized.input(fingerprintRecordSchema).mutation(({input}) => {
				handlers.notifyFingerprint(input);
			}),
		}),
		ownership: router({
			query: authorized.input(z.string()).query(({input}) => handlers.queryOwnership(input)),
		}),
		operations: router({
			status: authorized.query(() => handlers.getStatus()),
			explain: authorized.input(z.string()).query(({input}) => handlers.explainRequest(input)),
		}),
	});
};

/** Type of the peer router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
