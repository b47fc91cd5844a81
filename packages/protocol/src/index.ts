export * from './engine/engine-api.js';
export * from './peer/peer-records.js';
export * from './peer/peer-router.js';
export * from './platform/object-keys.js';
export * from './platform/platform-api.js';
