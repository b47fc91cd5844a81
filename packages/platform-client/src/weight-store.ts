import type {z} from 'zod';
import type {Result} from '@knapweedrack/core';
import {transferAnswerSchema, type transferRequestSchema} from '@knapweedrack/protocol';
import {callKinds} from './call-counters.js';
import type {CallOptions, StoreFailure} from './object-store.js';
import type {PlatformHttp} from './platform-http.js';

/** Which weights go to which backend server. */
export type TransferRequest = z.infer<typeof transferRequestSchema>;
/** Accepted transfer with its expected duration in ms. */
export type Transfer = z.infer<typeof transferAnswerSchema>;

/** Client of the weight store; `rate_limited` when the store's rate is in use. */
export type WeightStore = {
	requestTransfer: (request: TransferRequest, options?: CallOptions) => Promise<Result<Transfer, StoreFailure>>;
};

/** Creates a client of the weight store on a platform connection. */
export const createWeightStore = (http: PlatformHttp): WeightStore => ({
	requestTransfer: async (request, options) => http.send({
		kind: callKinds.transfer, method: 'POST', path: '/v1/weights/transfers', body: JSON.stringify(request),
		schema: transferAnswerSchema, isRead: false, isRepeatable: true, options,
	}),
});
