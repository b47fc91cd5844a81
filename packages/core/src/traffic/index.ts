export * from './freshness-tracker.js';
export * from './route-table.js';
export * from './select-target.js';
export * from './traffic-configuration.js';
