export * from './decide-retry.js';
export * from './retry-budget.js';
