export * from './compute-connection-limit.js';
export * from './memory-account.js';
export * from './memory-ledger.js';
export * from './memory-limits.js';
export * from './select-evicted-body.js';
