import {outcomeKinds, type OutcomeKind} from '@knapweedrack/core';
import {z} from 'zod';

const timeMs = z.number().nonnegative();
const outcome = z.enum(Object.values(outcomeKinds) as [OutcomeKind, ...OutcomeKind[]]);

const requestLineSchema = z.strictObject({
	/** Id of the request in the report. */
	id: z.string().min(1),
	/** Time in ms after the start at which the request is sent. */
	at: timeMs,
	workspace: z.string().min(1),
	model: z.string().min(1).optional(),
	/** `NAME/PATH` of a call to a plain service, sent with POST. */
	service: z.string().min(1).optional(),
	promptTokens: z.number().int().positive().default(1),
	maxTokens: z.number().int().positive().default(32),
	deadlineMs: z.number().positive().optional(),
	idempotencyKey: z.string().min(1).optional(),
	/** Text at the start of the prompt; requests with the same text share a prefix. */
	prefix: z.string().optional(),
	/** The expected outcome, or a list of the allowed ones. */
	expect: z.union([outcome, z.array(outcome).min(1)]).transform(value => Array.isArray(value) ? value : [value]),
	/** Upper limit of the time to the first token in ms. */
	firstTokenWithinMs: z.number().positive().optional(),
}).refine(({model, service}) => (model === undefined) !== (service === undefined), 'exactly one of model and service is needed');

const faultLineSchema = z.strictObject({
	at: timeMs,
	fault: z.discriminatedUnion('kind', [
		/** The backend server crashes and restarts cold; `server` is its number, from 1. */
		z.strictObject({kind: z.literal('crash'), server: z.number().int().positive()}),
		/** The backend server becomes cold without a crash. */
		z.strictObject({kind: z.literal('cold'), server: z.number().int().positive()}),
		z.strictObject({kind: z.literal('drain'), failureDomain: z.string()}),
		z.strictObject({kind: z.literal('restore'), failureDomain: z.string()}),
	]),
});

const headerSchema = z.strictObject({
	/** Name of the example deployment on which the trace runs. */
	deployment: z.string(),
	description: z.string().optional(),
});

/** A request of a trace with its expected outcomes; exactly one of `model` and `service` is set. */
export type ReplayRequest = z.infer<typeof requestLineSchema>;
/** A fault that is injected at a time of the trace. */
export type ReplayFault = z.infer<typeof faultLineSchema>;
/** A trace of requests and faults, with the outcomes that the replay must produce. */
export type ReplayTrace = z.infer<typeof headerSchema> & {requests: ReplayRequest[]; faults: ReplayFault[]};

/** An invalid line of a trace; lines count from 1. */
export type ReplayProblem = {line: number; message: string};

const parseLine = (schema: z.ZodType, line: string): {ok: true; value: unknown} | {ok: false; message: string} => {
	try {
		const result = schema.safeParse(JSON.parse(line));
		return result.success
			? {ok: true, value: result.data}
			: {ok: false, message: result.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')};
	} catch (error) {
		return {ok: false, message: (error as Error).message};
	}
};

const selectSchema = (index: number, line: string): z.ZodType => {
	if (index === 0) {
		return headerSchema;
	}

	return line.includes('"fault"') ? faultLineSchema : requestLineSchema;
};

/** Parses a JSONL trace: a header line, then one request or fault per line. Invalid lines are all reported together. */
export const parseReplayTrace = (text: string): {ok: true; value: ReplayTrace} | {ok: false; error: ReplayProblem[]} => {
	const problems: ReplayProblem[] = [];
	const values: unknown[] = [];
	const lines = text.split('\n').map((line, index) => ({line: line.trim(), number: index + 1})).filter(({line}) => line !== '');
	for (const [index, {line, number}] of lines.entries()) {
		const parsed = parseLine(selectSchema(index, line), line);
		if (parsed.ok) {
			values.push(parsed.value);
		} else {
			problems.push({line: number, message: parsed.message});
		}
	}

	if (problems.length > 0 || values.length === 0) {
		return {ok: false, error: problems.length > 0 ? problems : [{line: 1, message: 'the trace is empty'}]};
	}

	const [header, ...rest] = values as [z.infer<typeof headerSchema>, ...Array<ReplayRequest | ReplayFault>];
	return {
		ok: true,
		value: {
			...header,
			requests: rest.filter((value): value is ReplayRequest => !('fault' in value)),
			faults: rest.filter((value): value is ReplayFault => 'fault' in value),
		},
	};
};

/** Outcome of one request of a trace; times are in ms since the request was sent. */
export type ReplayResult = {id: string; outcome: OutcomeKind; reason?: string | undefined; firstTokenMs?: number | undefined; endMs: number};

/** A request whose result differs from what the trace expects. */
export type ReplayMismatch = {id: string; expected: string; seen: string};

const describeOutcome = (result: ReplayResult | undefined): string => result === undefined ? 'no result' : [result.outcome, result.reason].filter(Boolean).join(' ');

/** Compares results with the expected outcomes and time limits; a request without a result is a mismatch. */
export const findMismatches = (requests: readonly ReplayRequest[], results: readonly ReplayResult[]): ReplayMismatch[] => {
	const byId = new Map(results.map(result => [result.id, result]));
	const mismatches: ReplayMismatch[] = [];
	for (const request of requests) {
		const result = byId.get(request.id);
		if (result === undefined || !request.expect.includes(result.outcome)) {
			mismatches.push({id: request.id, expected: request.expect.join(' or '), seen: describeOutcome(result)});
		} else if (request.firstTokenWithinMs !== undefined && result.outcome === outcomeKinds.completed && (result.firstTokenMs ?? Infinity) > request.firstTokenWithinMs) {
			mismatches.push({id: request.id, expected: `first token within ${request.firstTokenWithinMs} ms`, seen: `${result.firstTokenMs?.toFixed(0)} ms`});
		} else if (request.deadlineMs !== undefined && result.endMs > request.deadlineMs * (1 + deadlineTolerance)) {
			mismatches.push({id: request.id, expected: `end within the deadline of ${request.deadlineMs} ms`, seen: `${result.endMs.toFixed(0)} ms`});
		}
	}

	return mismatches;
};

/** Share of the deadline by which a request may end late, because messages between processes take time. */
const deadlineTolerance = 0.05;
