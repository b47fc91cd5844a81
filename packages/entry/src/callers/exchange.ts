import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	outcomeKinds, refusalReasons, type Outcome, type Plan, type Workspace,
} from '@knapweedrack/core';
import type {ConfigurationView} from '../contracts.js';
import type {CallerContext} from './caller-context.js';
import {parseCallerHeaders, readCredential, type CallerHeaders} from './caller-headers.js';
import {
	buildErrorBody, buildRetryHeaders, createRefusal, getRefusalStatus, type Refusal,
} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';

/** One request and its response. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	requestId: string;
	/** Monotonic time in ms at which the headers arrived. */
	arrivedAt: number;
};

/** A caller with its workspace, plan and validated headers. */
export type AuthenticatedCaller = {
	view: ConfigurationView;
	workspace: Workspace;
	plan: Plan;
	headers: CallerHeaders;
};

const maxAlternatives = 3;

/** Sends a JSON answer. */
export const sendJson = ({response, requestId}: Exchange, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {
		...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'x-request-id': requestId,
	});
	response.end(text);
};

/** Lists addresses of other entries that may serve the refused request; empty unless the status is 503. */
const listAlternatives = (context: CallerContext, refusal: Refusal): string[] => {
	if (getRefusalStatus(refusal.reason) !== 503) {
		return [];
	}

	const {entries} = context.services.membership.listEntries(undefined, undefined);
	return entries.filter(entry => entry.entryId !== context.services.entryId).slice(0, maxAlternatives).map(entry => entry.address);
};

/** Builds the error body of a refusal with the addresses of other entries. */
export const buildRefusalBody = (context: CallerContext, {requestId}: Exchange, refusal: Refusal) =>
	buildErrorBody(refusal, requestId, listAlternatives(context, refusal));

/** Sends a refusal or failure as the whole answer and counts it. */
export const sendRefusal = (context: CallerContext, exchange: Exchange, refusal: Refusal): void => {
	context.services.metrics.countRefusal(refusal.reason);
	const hasUnreadBody = refusal.reason === refusalReasons.bodyTooLarge || refusal.reason === refusalReasons.requestTimeout;
	sendJson(exchange, getRefusalStatus(refusal.reason), buildRefusalBody(context, exchange, refusal), {
		...buildRetryHeaders(refusal),
		...(hasUnreadBody ? {connection: 'close'} : {}),
	});
};

/** Builds the refusal for a final outcome other than a complete answer. */
export const toRefusal = (outcome: Outcome): Refusal => {
	const reason = outcome.reason ?? refusalReasons.internal;
	return {
		outcome: outcome.kind === outcomeKinds.completed ? outcomeKinds.failed : outcome.kind,
		reason,
		message: refusalMessages[reason],
		retryAfterMs: outcome.retryAfterMs,
	};
};

/** Finds the workspace of a request and validates its headers. */
export const authenticate = (context: CallerContext, {request}: Exchange): AuthenticatedCaller | Refusal => {
	const {configuration, membership} = context.services;
	if (membership.isStopping()) {
		return createRefusal(refusalReasons.entryStopping, refusalMessages.entry_stopping, {retryAfterMs: 0});
	}

	const view = configuration.get();
	if (view === undefined || !configuration.isFresh()) {
		return createRefusal(refusalReasons.configurationStale, refusalMessages.configuration_stale, {retryAfterMs: 1000});
	}

	const credential = readCredential(request.headers);
	const workspace = credential === undefined ? undefined : view.findWorkspaceByCredential(credential);
	const plan = workspace === undefined ? undefined : view.getPlan(workspace.plan);
	if (workspace === undefined || plan === undefined) {
		return createRefusal(refusalReasons.unauthenticated, refusalMessages.unauthenticated);
	}

	const headers = parseCallerHeaders(request.headers);
	return headers.ok
		? {
			view, workspace, plan, headers: headers.value,
		}
		: headers.error;
};

/** True for a refusal in place of a result. */
export const isRefusal = (value: object): value is Refusal => 'outcome' in value && 'reason' in value;
