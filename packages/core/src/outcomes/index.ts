export * from './compute-outcome.js';
