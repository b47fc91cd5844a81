export type * from './ownership-messages.js';
export * from './ownership-table.js';
export * from './ownership-transitions.js';
export * from './rendezvous.js';
