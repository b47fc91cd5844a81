export * from './load-table.js';
export * from './placement-types.js';
export * from './predict-first-token.js';
export * from './select-placement.js';
export * from './server-load.js';
