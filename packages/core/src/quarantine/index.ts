export * from './crash-register.js';
export * from './decide-content.js';
export * from './find-crash-causes.js';
export * from './fingerprint-record.js';
export * from './fingerprint-table.js';
export * from './lost-attempts.js';
export * from './unconfirmed-crashes.js';
