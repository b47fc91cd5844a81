export * from './engine/answer-text.js';
export * from './engine/engine-options.js';
export * from './engine/engine.js';
export * from './engine/token-count.js';
export type * from './http/stand-in.js';
export * from './platform/platform.js';
export * from './service/service.js';
export * from './process-group/process-group.js';
export * from './caller/caller-client.js';
