export * from './prefix-index.js';
