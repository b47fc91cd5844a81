import {Buffer} from 'node:buffer';

const bytesPerToken = 4;

/** Counts the tokens of a text: UTF-8 bytes / 4, rounded up. */
export const countTokens = (text: string): number => Math.ceil(Buffer.byteLength(text) / bytesPerToken);
