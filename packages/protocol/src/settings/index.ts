export * from './process-settings.js';
