export * from './memory-account.js';
