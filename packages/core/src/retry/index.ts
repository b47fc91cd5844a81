export * from './attempt-race.js';
export * from './decide-retry.js';
export * from './retry-budget.js';
export * from './shared-retry-budget.js';
