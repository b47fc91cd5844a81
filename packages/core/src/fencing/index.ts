export * from './engine-order-tracker.js';
