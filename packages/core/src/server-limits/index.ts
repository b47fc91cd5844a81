export * from './compute-rate-share.js';
export * from './server-limit-table.js';
