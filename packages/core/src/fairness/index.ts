export * from './binary-heap.js';
export * from './fair-queue.js';
