export * from './decide-claim.js';
