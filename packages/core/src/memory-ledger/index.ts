export * from './memory-account.js';
export * from './memory-ledger.js';
export * from './memory-limits.js';
