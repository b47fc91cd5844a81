export * from './call-counters.js';
export * from './http-object-store.js';
export * from './instance-directory.js';
export type * from './object-store.js';
export * from './platform-http.js';
export * from './weight-store.js';
