export * from './apply-availability-edit.js';
