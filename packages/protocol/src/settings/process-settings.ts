import {z} from 'zod';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {
	parseSource, validateSource, type SourceDocument, type SourceFile, type ValidationProblem,
} from '../documents/yaml-document.js';
import {parseAddress} from './addresses.js';

const listenerAddressSchema = z.string().refine(text => parseAddress(text) !== undefined, 'expected an IP address and port, for example 10.0.0.5:8400');
const remoteAddressSchema = listenerAddressSchema.refine(text => parseAddress(text)?.port !== 0, 'expected a port from 1 to 65535');
const name = z.string().min(1).max(200).regex(/^[\w.\-]+$/v, 'expected letters, digits, ".", "_" and "-"');
// Shorter secrets could be found by brute force against the peer listener.
const secret = z.string().min(16).max(500);

/** Upper limit of `gracePeriodMs`. */
export const gracePeriodLimitMs = 3_600_000;

const settingsSchema = z.strictObject({
	entryId: name,
	failureDomain: name,
	region: name,
	/** `host:port` for callers; with port 0 the operating system chooses a free port. */
	callerListener: listenerAddressSchema,
	/** `host:port` for other entries; with port 0 the operating system chooses a free port. */
	peerListener: listenerAddressSchema,
	/** `host:port` of the platform's object API, instance list and weight store. */
	platform: remoteAddressSchema,
	/** `host:port` of the entries from which the configuration is requested at start. */
	seedPeers: z.array(remoteAddressSchema),
	peerSecrets: z.strictObject({
		/** Sent to other entries, and accepted from them. */
		current: secret,
		/** Additional secrets accepted from other entries during a rotation. */
		accepted: z.array(secret),
	}),
	/** `host:port` that receives metrics over UDP; without it no metrics are sent. */
	metrics: remoteAddressSchema.optional(),
	/** Maximum time that a planned stop waits for running requests, in ms. */
	gracePeriodMs: z.number().int().min(1000).max(gracePeriodLimitMs),
});

/** Settings of one entry process. */
export type ProcessSettings = z.infer<typeof settingsSchema>;

const listDuplicates = (values: readonly string[]) => values.flatMap((value, index) => values.indexOf(value) < index ? [index] : []);

const listConflicts = (source: SourceDocument): ValidationProblem[] => {
	const settings = (source.value ?? {}) as Partial<Record<keyof ProcessSettings, unknown>>;
	const {callerListener, peerListener} = settings;
	const seedPeers = Array.isArray(settings.seedPeers) ? settings.seedPeers.map(String) : [];
	const problems = listDuplicates(seedPeers).map(index => source.createProblem(['seedPeers', index], `duplicate seed peer "${seedPeers[index]}"`));
	if (typeof callerListener === 'string' && callerListener === peerListener && parseAddress(callerListener)?.port !== 0) {
		problems.push(source.createProblem(['peerListener'], 'the listeners for callers and for peers have the same address'));
	}

	return problems;
};

/** Parses the settings file of one process; returns all problems at once. */
export const parseSettings = (file: SourceFile): Result<ProcessSettings, ValidationProblem[]> => {
	const source = parseSource(file);
	const {value, problems} = validateSource(source, settingsSchema, Object.keys(settingsSchema.shape));
	const allProblems = [...problems, ...listConflicts(source)];
	return value !== undefined && allProblems.length === 0 ? createOk(value) : createError(allProblems);
};
