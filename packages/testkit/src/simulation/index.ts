export * from './baseline-policy.js';
export * from './core-policy.js';
export * from './load-trace.js';
export * from './run-simulation.js';
export * from './simulated-deployment.js';
export * from './simulation-world.js';
export * from './run-summary.js';
export * from './virtual-clock.js';
