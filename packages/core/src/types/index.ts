export type * from './attempt.js';
export * from './backend-server.js';
export type * from './claim.js';
export * from './configuration.js';
export type * from './frame.js';
export * from './permit.js';
export * from './reasons.js';
export * from './result.js';
export type * from './session.js';
