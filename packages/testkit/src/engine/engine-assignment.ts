import {orderKinds, type EngineOrder} from '@knapweedrack/protocol';

/** What an engine runs after its last order, as `GET /admin/v1/orders` returns it. */
export type EngineAssignment = {
	model: string;
	version: string;
	adapters: string[];
	role: string;
	lastOrderId: string;
};

/** Returns the assignment that results from an order. */
export const applyOrder = (assignment: EngineAssignment, order: EngineOrder): EngineAssignment => ({
	...orderHandlers[order.kind](assignment, order),
	lastOrderId: order.orderId,
});

const orderHandlers: Record<EngineOrder['kind'], (assignment: EngineAssignment, order: EngineOrder) => EngineAssignment> = {
	[orderKinds.loadModel]: (assignment, order) => ({
		...assignment, model: order.target, version: order.version ?? assignment.version, adapters: [],
	}),
	[orderKinds.loadAdapter]: (assignment, order) => ({...assignment, adapters: [...new Set([...assignment.adapters, order.target])]}),
	[orderKinds.setRole]: (assignment, order) => ({...assignment, role: order.target}),
};
