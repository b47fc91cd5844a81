export type * from './contracts.js';
