export * from './day-report.js';
export * from './minute-summary.js';
