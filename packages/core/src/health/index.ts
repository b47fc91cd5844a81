export * from './server-health.js';
export * from './overdue-attempts.js';
export * from './server-reachability.js';
