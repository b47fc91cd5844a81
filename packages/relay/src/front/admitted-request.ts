import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Route, Service} from '@knapweedrack/core';
import type {RequestEnvelope} from '../contracts.js';
import type {AnswerWriter} from './answer-writer.js';

/** A whole request that was admitted to a service. */
export type AdmittedRequest = {
	request: IncomingMessage;
	envelope: RequestEnvelope;
	body: Buffer | undefined;
	route: Route;
	service: Service;
	workspace: string | undefined;
	/** 0 to 9, 0 is the first; undefined on a service whose requests all have the same urgency. */
	urgency: number | undefined;
	/** Fingerprints of the content and of the parts of its prompt that other requests may share. */
	fingerprints: string[];
	writer: AnswerWriter;
	/** Arrival of the request, on the clock of the timer service, in ms. */
	arrivedAt: number;
	/** Returns the time until the deadline or the timeout of the route, in ms. */
	computeRemainingMs: () => number;
	/** Returns true when a planned stop has come so far that a backend server may not finish the request before the process ends. */
	isLateInStop: () => boolean;
};
