export * from './configuration-lists.js';
export {deadlineLimitMs, longestPromptLimitTokens} from './list-schemas.js';
