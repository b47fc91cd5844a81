export * from './frame-validator.js';
