export {
	formatPath, parseSource, validateSource, type SourceDocument, type SourceFile, type ValidationProblem,
} from './documents/yaml-document.js';
export * from './engine/engine-api.js';
export * from './lists/index.js';
export * from './peer/peer-records.js';
export * from './peer/peer-router.js';
export * from './platform/object-keys.js';
export * from './platform/platform-api.js';
export * from './settings/index.js';
export * from './state/index.js';
