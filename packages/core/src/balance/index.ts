export * from './balance-window.js';
export * from './spread-candidates.js';
