export * from './fingerprint-record.js';
export * from './fingerprint-table.js';
