export * from './backend-server-list.js';
export * from './heartbeat-table.js';
export * from './select-advertised-entries.js';
export * from './session-lease.js';
export * from './session-observer.js';
