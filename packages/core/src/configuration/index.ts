export * from './chunks.js';
export * from './configuration-state.js';
export * from './revision.js';
