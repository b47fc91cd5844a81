export type * from './object-store.js';
