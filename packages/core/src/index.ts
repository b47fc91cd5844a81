export * from './types/index.js';
