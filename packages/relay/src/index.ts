export type * from './contracts.js';
export type {DecisionLog} from './logging/decision-log.js';
export type {SocketOpener} from './exchange/connection-opener.js';
export {createBoundedServer} from './listeners/bounded-server.js';
export * from './relay.js';
