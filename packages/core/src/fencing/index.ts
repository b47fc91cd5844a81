export * from './order-book.js';
