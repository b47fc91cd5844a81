export type * from './engine-profile.js';
export * from './engine-timing.js';
