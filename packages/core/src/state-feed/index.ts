export * from './compute-feed-timing.js';
export * from './confirm-copy.js';
export * from './select-readers.js';
export * from './source-selector.js';
export * from './state-copy.js';
