import type {z} from 'zod';
import type {Result} from '@knapweedrack/core';
import {transferAnswerSchema, type transferRequestSchema} from '@knapweedrack/protocol';
import {callKinds} from './call-counters.js';
import type {CallOptions, StoreFailure} from './object-store.js';
import type {PlatformHttp} from './platform-http.js';

/** Name and version of the weights, and the backend server that loads them. */
export type TransferRequest = z.infer<typeof transferRequestSchema>;
/** Id and expected duration in ms of an accepted transfer. */
export type Transfer = z.infer<typeof transferAnswerSchema>;

/** Client of the weight store; a call fails with `rate_limited` while other transfers use the store's whole rate. */
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
