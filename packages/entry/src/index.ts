export * from './callers/index.js';
export type * from './contracts.js';
export * from './entry.js';
export * from './settings/exit-codes.js';
export * from './settings/settings-file.js';
