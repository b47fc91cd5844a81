export * from './balance-run.js';
export * from './choices.js';
export * from './compare-choices.js';
