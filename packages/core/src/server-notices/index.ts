export * from './leaving-servers.js';
export * from './server-backoff-table.js';
