import type {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import {z} from 'zod';
import type {StateAge, StateUpdate} from '@knapweedrack/core';

const positionSchema = z.object({era: z.number(), revision: z.number()});

const updateSchema = positionSchema.extend({
	from: z.number().optional(),
	puts: z.array(z.tuple([z.string(), z.number(), z.unknown()])),
	deletes: z.array(z.string()),
	/** Key and version of objects that the follower reads from the store itself, because they are large. */
	large: z.array(z.tuple([z.string(), z.number()])).default([]),
});

/** Longest value that a reader passes on, in characters; its link would be too slow to send a longer one to all followers. */
const passedValueLimit = 16 * 1024;

/** Age of the state of one watch: time in ms since the reader sent the last call to the store that confirmed it. */
const ageSchema = positionSchema.extend({watch: z.string(), ageMs: z.number().nonnegative()});

const messageSchemas = {
	/** From a follower, first: the positions of the copies that it has. */
	follow: z.object({type: z.literal('follow'), entryId: z.string(), positions: z.record(z.string(), positionSchema)}),
	/** From a follower: asks for the ages; `at` is returned. */
	ask: z.object({type: z.literal('ask'), at: z.number()}),
	/** From a reader: changes of a watch; `regainedMs` is the time since the store answered again after an outage, while that is recent. */
	update: z.object({
		type: z.literal('update'), watch: z.string(), update: updateSchema, regainedMs: z.number().nonnegative().optional(),
	}),
	/** From a reader: everything that the follower lacked at the start was sent. */
	synced: z.object({type: z.literal('synced')}),
	/** From a reader: answer to `ask`. Watches that the reader cannot confirm are missing. */
	ages: z.object({type: z.literal('ages'), at: z.number(), ages: z.array(ageSchema)}),
	/** From a reader: it does not reach the store. */
	lost: z.object({type: z.literal('lost')}),
} as const;

const messageSchema = z.discriminatedUnion('type', [
	messageSchemas.follow, messageSchemas.ask, messageSchemas.update, messageSchemas.synced, messageSchemas.ages, messageSchemas.lost,
]);

/** A message between an entry that reads the store and one that follows it. */
export type FeedMessage = z.infer<typeof messageSchema>;

/** Message of one type. */
export type FeedMessageOf<Type extends FeedMessage['type']> = Extract<FeedMessage, {type: Type}>;

/** Age of the state of one watch at a reader. */
export type WatchAge = StateAge & {watch: string};

/** Longest message in characters; the whole content of one watch fits. */
const messageLimit = 64 * 1024 * 1024;

/** Encodes a message as one line. */
export const encodeFeedMessage = (message: FeedMessage): string => `${JSON.stringify(message)}\n`;

/** Update as it is sent: large values are left out. */
export type SentUpdate = z.infer<typeof updateSchema>;

/** Converts an update to the form in which it is sent. */
export const encodeUpdate = ({era, from, revision, puts, deletes}: StateUpdate): SentUpdate => {
	const isLarge = (put: StateUpdate['puts'][number]): boolean => (JSON.stringify(put[2])?.length ?? 0) > passedValueLimit;
	return {
		era, revision, deletes, ...(from !== undefined && {from}),
		puts: puts.filter(put => !isLarge(put)),
		large: puts.filter(put => isLarge(put)).map(([key, version]) => [key, version]),
	};
};

/** Splits received bytes into messages. */
export class FeedMessageReader {
	readonly #decoder = new StringDecoder('utf8');
	#text = '';

	/** Adds received bytes; returns the complete messages, or undefined when one is invalid or too long. */
	read(bytes: Buffer): FeedMessage[] | undefined {
		const text = this.#decoder.write(bytes);
		const lines = (this.#text + text).split('\n');
		this.#text = lines.pop() ?? '';
		const messages = lines.map(line => messageSchema.safeParse(parseLine(line)).data);
		return this.#text.length > messageLimit || messages.includes(undefined) ? undefined : messages as FeedMessage[];
	}
}

const parseLine = (line: string): unknown => {
	try {
		return JSON.parse(line);
	} catch {
		return undefined;
	}
};
