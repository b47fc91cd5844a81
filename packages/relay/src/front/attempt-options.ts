import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Route, Service} from '@knapweedrack/core';
import type {PlacedRequest} from '../placement/placement-task.js';
import type {AnswerWriter} from './answer-writer.js';

/** Last event of a stream that the caller has received; the next attempt continues after it. */
export type StreamProgress = {
	lastEventId: string | undefined;
	/** False once the caller has received a part that no other attempt can continue: an event without an id, which would be repeated, or a part of another answer. */
	isResumable: boolean;
	/** True once the caller has received the head of a stream of events, which only another such stream can continue. */
	isEventStream: boolean;
	/** Time at which the latest part was passed on, on the clock of the timer service, in ms; undefined before the first one. */
	latestPartAt: number | undefined;
};

/** Input of one attempt of a request. */
export type AttemptOptions = {
	request: IncomingMessage;
	requestId: string | undefined;
	body: Buffer | undefined;
	route: Route;
	service: Service;
	placed: PlacedRequest;
	workspace: string | undefined;
	/** 0 to 9, 0 is the first; undefined selects the backend server's default. */
	urgency: number | undefined;
	/** Reservation id by the id of the helper that holds the memory. */
	reservations: ReadonlyMap<string, string>;
	remainingMs: number;
	/** Arrival of the request, on the clock of the timer service, in ms. */
	arrivedAt: number;
	writer: AnswerWriter;
	progress: StreamProgress;
	/** Called before a part of the answer is passed on, which cancels the other attempts; returns false when one of them has already brought it. */
	claimAnswer: () => boolean;
	/** False while other attempts of the request are running. */
	isAlone: () => boolean;
	/** Called when bytes of an answer arrive. */
	notifyProgress: () => void;
	/** Called repeatedly while the backend server is silent; undefined when the request may not run on another one meanwhile. */
	notifySilent: (() => void) | undefined;
	setControl: (control: AttemptControl) => void;
	/** Called when the backend server has ended the answer of an attempt that is kept. */
	notifyEndedKept: () => void;
	setSent: () => void;
};

/** Control over an attempt of a request. */
export type AttemptControl = {
	cancel: (reason: CancelReason) => void;
	/** Holds the further events of an attempt that has lost; returns false when it can't go on with the answer. */
	tryKeep: () => boolean;
	/** Goes on with the answer after the last event that the caller has received. */
	resume: () => void;
};

/** Why a running attempt is cancelled. */
export const cancelReasons = {
	/** The caller has left, or the time of the request is over. */
	requestOver: 'requestOver',
	/** Another attempt has continued the answer, and the backend server of this one was silent. */
	lostSilent: 'lostSilent',
	/** Another attempt has continued the answer. */
	lost: 'lost',
} as const;
/** Value of `cancelReasons`. */
export type CancelReason = (typeof cancelReasons)[keyof typeof cancelReasons];
