export * from './lifecycle.js';
