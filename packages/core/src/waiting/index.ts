export * from './admission-estimate.js';
export * from './drain-rate.js';
export * from './room-sharing.js';
export * from './urgency.js';
export * from './waiting-queue.js';
export * from './waiting-retry-delay.js';
export * from './waiting-reports.js';
