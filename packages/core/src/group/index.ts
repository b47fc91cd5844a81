export * from './group-reservation.js';
export * from './plan-group.js';
