export * from './admission-events.js';
export * from './admission-options.js';
export * from './admission-point.js';
export * from './lanes.js';
export * from './permit-id.js';
export * from './permit-validity.js';
