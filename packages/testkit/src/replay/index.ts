export * from './replay-trace.js';
export * from './replay-virtual.js';
