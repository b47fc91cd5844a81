export * from './metadata-store.js';
export * from './reservation-ledger.js';
export * from './runner.js';
export * from './server-link.js';
