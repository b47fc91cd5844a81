export * from './warmup-level.js';
export * from './cold-arrival-gate.js';
export * from './cold-share.js';
