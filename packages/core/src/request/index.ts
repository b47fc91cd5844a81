export * from './request-lifecycle.js';
export * from './request-transitions.js';
