export * from './configuration-records.js';
export * from './state-records.js';
