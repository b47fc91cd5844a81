export * from './long-prompt-pool.js';
export * from './prompt-class.js';
export * from './rendezvous.js';
export * from './select-candidates.js';
