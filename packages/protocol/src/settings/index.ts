export * from './addresses.js';
export * from './process-settings.js';
