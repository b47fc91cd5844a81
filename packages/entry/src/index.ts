export * from './callers/index.js';
export type * from './contracts.js';
