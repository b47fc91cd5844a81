import type {Result} from '@knapweedrack/core';
import {instanceListSchema, type InstanceList} from '@knapweedrack/protocol';
import {callKinds} from './call-counters.js';
import type {CallOptions, StoreFailure} from './object-store.js';
import type {PlatformHttp} from './platform-http.js';

/** Client of the instance list, which is several seconds out of date. */
export type InstanceDirectory = {
	list: (options?: CallOptions) => Promise<Result<InstanceList, StoreFailure>>;
};

/** Creates a client of the instance list on a platform connection. */
export const createInstanceDirectory = (http: PlatformHttp): InstanceDirectory => ({
	list: async options => http.send({
		kind: callKinds.instances, method: 'GET', path: '/v1/instances', schema: instanceListSchema, isRead: true, isRepeatable: false, options,
	}),
});
