import type {z} from 'zod';
import {
	findParameter, readJsonBody, sendJson, toRouteHandler,
} from '../http/exchange.js';
import type {Router} from '../http/listener.js';
import type {FaultLimits, FaultTable} from './fault-table.js';

const faultBodyLimitBytes = 100_000;

/** Faults and state of one stand-in that its test routes expose. */
export type TestRoutes<Fault extends {kind: string} & FaultLimits> = {
	faults: FaultTable<Fault>;
	schema: z.ZodType<Fault>;
	getNow: () => number;
	/** Called after a fault was added, to apply faults that act at once. */
	handleFault?: (fault: Fault, now: number) => void;
	/** Returns the body of `GET /testkit/state`. */
	getState: () => unknown;
};

/** Adds `POST`, `GET` and `DELETE /testkit/faults` and `GET /testkit/state`. */
export const addTestRoutes = <Fault extends {kind: string} & FaultLimits>(router: Router, routes: TestRoutes<Fault>): void => {
	router.post('/testkit/faults', toRouteHandler(async exchange => {
		const body = await readJsonBody(exchange, routes.schema, faultBodyLimitBytes);
		if (!body.ok) {
			sendJson(exchange, 400, {error: 'bad_request', message: body.message});
			return;
		}

		const now = routes.getNow();
		routes.faults.add(body.value, now);
		routes.handleFault?.(body.value, now);
		sendJson(exchange, 200, {faults: routes.faults.list(now)});
	}));
	router.get('/testkit/faults', toRouteHandler(exchange => {
		sendJson(exchange, 200, {faults: routes.faults.list(routes.getNow())});
	}));
	router.delete('/testkit/faults', toRouteHandler(exchange => {
		routes.faults.remove(findParameter(exchange, 'kind'));
		sendJson(exchange, 200, {faults: routes.faults.list(routes.getNow())});
	}));
	router.get('/testkit/state', toRouteHandler(exchange => {
		sendJson(exchange, 200, routes.getState());
	}));
};
