export type * from './program/cli-io.js';
export type * from './program/command-context.js';
export type * from './program/command-result.js';
export type * from './program/command-spec.js';
export * from './program/exit-codes.js';
export * from './program/run-cli.js';
