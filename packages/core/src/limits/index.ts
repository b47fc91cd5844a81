export * from './plan-limits.js';
export * from './slice-holder.js';
export * from './token-bucket.js';
export * from './workspace-budget.js';
