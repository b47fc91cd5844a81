export * from './frame-validator.js';
export * from './slow-reader.js';
