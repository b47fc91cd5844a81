export * from './warmup-level.js';
